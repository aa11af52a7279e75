import {Buffer} from 'node:buffer';
import type {WebSocket} from 'ws';
import type {LinkSocket} from './link-socket.js';

/**
 * Adapts a `ws` connection to `LinkSocket`. A text message closes the connection, since links use only binary messages.
 *
 * @internal
 */
export function wsLinkSocket(socket: WebSocket): LinkSocket {
	socket.binaryType = 'nodebuffer';
	return {
		get bufferedAmount() {
			return socket.bufferedAmount;
		},
		send(bytes, onWritten) {
			socket.send(bytes, onWritten);
		},
		terminate() {
			socket.terminate();
		},
		on(event: string, listener: (...args: any[]) => void) {
			if (event !== 'message') {
				socket.on(event, listener);
				return;
			}

			socket.on('message', (data, isBinary) => {
				if (isBinary && Buffer.isBuffer(data)) {
					listener(data);
				} else {
					socket.terminate();
				}
			});
		},
	};
}
