import type {ServerResponse} from 'node:http';
import type {Ms} from '../clock/index.js';
import {mayBeFollowed} from '../http/index.js';
import type {Rejection} from './rejection.js';

/** Encodes a rejection. Its body reports `not_run` only with status 503. */
export function encodeRejection(rejection: Rejection, isClosing: boolean): {body: string; headers: Record<string, string | number>} {
	const body = JSON.stringify({reason: rejection.reason, outcome: rejection.status === 503 ? 'not_run' : 'unknown'});
	return {
		body,
		headers: {
			'content-type': 'application/json',
			'content-length': body.length,
			...(rejection.retryAfterMs === undefined ? {} : {'retry-after': formatDelay(rejection.retryAfterMs)}),
			...(isClosing ? {connection: 'close'} : {}),
		},
	};
}

/** Formats a delay in seconds, rounded up: a caller that waits as told must not be early. */
function formatDelay(delayMs: Ms): string {
	return (Math.ceil(delayMs / 10) / 100).toFixed(2);
}

/** Sends a rejection to the caller. It closes the connection on request, unless another request may have arrived on it. */
export function sendRejection(res: ServerResponse, rejection: Rejection, isClosing: boolean): void {
	const {body, headers} = encodeRejection(rejection, isClosing && !mayBeFollowed(res));
	res.writeHead(rejection.status, headers);
	res.end(body);
}
