import {WebSocket} from 'ws';
import type {ListenAddress} from '../http/index.js';
import type {LinkSocket} from './link-socket.js';
import {handshakeTimeoutMs, maxFrameBytes} from './link.js';
import {wsLinkSocket} from './ws-link-socket.js';

/**
 * Opens a WebSocket connection to another entry VM.
 *
 * @internal
 */
export function dialLink({host, port}: ListenAddress): LinkSocket {
	const socket = new WebSocket(`ws://${host.includes(':') ? `[${host}]` : host}:${port}/links`, {
		perMessageDeflate: false, maxPayload: maxFrameBytes, handshakeTimeout: handshakeTimeoutMs,
	});
	return wsLinkSocket(socket);
}
