import type {ServerResponse} from 'node:http';
import {isFollowed} from '../http/index.js';
import type {Rejection} from './rejection.js';

/** Sends a rejection to the caller. Its body reports `not_run` only with status 503. */
export function sendRejection(res: ServerResponse, rejection: Rejection, isClosing: boolean): void {
	const body = JSON.stringify({reason: rejection.reason, outcome: rejection.status === 503 ? 'not_run' : 'unknown'});
	res.writeHead(rejection.status, {
		'content-type': 'application/json',
		'content-length': body.length,
		...(rejection.retryAfterMs === undefined ? {} : {'retry-after': (rejection.retryAfterMs / 1000).toFixed(2)}),
		...(isClosing && !isFollowed(res) ? {connection: 'close'} : {}),
	});
	res.end(body);
}
