import {GuavamillError} from '../errors/index.js';

/** Why a link was closed. */
export type LinkCloseReason =
	| 'bad_frame' | 'bad_handshake' | 'unknown_version' | 'wrong_name' | 'handshake_timeout'
	| 'silent' | 'send_queue_full' | 'replaced' | 'not_needed' | 'evicted' | 'socket_closed' | 'shutdown';

/** A received frame or handshake message that the link refuses. */
export class LinkError extends GuavamillError {
	static create(reason: LinkCloseReason, message: string): LinkError {
		return new LinkError(reason, message);
	}

	override name = 'LinkError';

	private constructor(readonly reason: LinkCloseReason, message: string) {
		super(message);
	}
}
