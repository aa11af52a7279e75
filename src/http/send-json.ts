import {Buffer} from 'node:buffer';
import type {OutgoingHttpHeaders, ServerResponse} from 'node:http';

/** Sends a complete JSON response. Does nothing when headers were already sent or the connection is closed. */
export function sendJson(res: ServerResponse, status: number, body: unknown, headers: OutgoingHttpHeaders = {}): void {
	if (res.headersSent || res.destroyed) {
		return;
	}

	const text = JSON.stringify(body);
	res.writeHead(status, {'content-type': 'application/json', 'content-length': Buffer.byteLength(text), ...headers});
	res.end(text);
}
