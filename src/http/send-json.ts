import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** Sends a JSON response and ends it; does nothing when the response was begun or the caller left. */
export function sendJson(res: ServerResponse, status: number, body: unknown, headers: OutgoingHttpHeaders = {}): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers});
	res.end(text);
}
