import type {ServerResponse} from 'node:http';
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
			...(rejection.retryAfterMs === undefined ? {} : {'retry-after': (rejection.retryAfterMs / 1000).toFixed(2)}),
			...(isClosing ? {connection: 'close'} : {}),
		},
	};
}

/** Sends a rejection to the caller. It closes the connection on request, unless another request may have arrived on it. */
export function sendRejection(res: ServerResponse, rejection: Rejection, isClosing: boolean): void {
	const {body, headers} = encodeRejection(rejection, isClosing && !mayBeFollowed(res));
	res.writeHead(rejection.status, headers);
	res.end(body);
}
