import type {Socket} from 'node:net';

/** Statuses of the errors of a request that are not those of a malformed one. */
const statuses: Readonly<Record<string, string>> = {
	HPE_HEADER_OVERFLOW: '431 Request Header Fields Too Large',
	HPE_CHUNK_EXTENSIONS_OVERFLOW: '413 Payload Too Large',
	ERR_HTTP_REQUEST_TIMEOUT: '408 Request Timeout',
};

/**
 * Closes a connection whose caller sent what is no request, or too slowly. It is told so unless a response is in progress
 * there, in whose place the caller would read it: such a connection is reset, since an orderly end would complete a
 * response without a length.
 *
 * @example
 * server.on('clientError', (err, socket) => answerClientError(err, socket, {isAnswering: false}));
 */
export function answerClientError(err: NodeJS.ErrnoException, socket: Socket, {isAnswering}: {isAnswering: boolean}): void {
	if (isAnswering) {
		socket.resetAndDestroy();
		return;
	}

	if (socket.writable) {
		socket.write(`HTTP/1.1 ${statuses[err.code ?? ''] ?? '400 Bad Request'}\r\nconnection: close\r\n\r\n`);
	}

	socket.destroy(err);
}
