import {GuavamillError} from '../errors/index.js';

/** Reason for closing a link. */
export type LinkCloseReason =
	| 'bad_frame' | 'bad_handshake' | 'unknown_version' | 'wrong_name' | 'handshake_timeout'
	| 'silent' | 'send_queue_full' | 'replaced' | 'not_needed' | 'evicted' | 'socket_closed' | 'shutdown';

/** Protocol error on a link, such as an invalid frame or handshake message. The link is closed with `reason`. */
export class LinkError extends GuavamillError {
	static create(reason: LinkCloseReason, message: string): LinkError {
		return new LinkError(reason, message);
	}

	override name = 'LinkError';

	private constructor(readonly reason: LinkCloseReason, message: string) {
		super(message);
	}
}
