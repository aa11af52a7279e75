import type {Ms} from '../clock/index.js';
import type {ConnectionReset} from './ended-connection.js';
import {isCutByReset, type ResetExchange} from './is-cut-by-reset.js';

/**
 * Time after the end of a connection, and after the kernel has accepted the request in full, in which a reset is waited
 * for. Targets in another process that reset a connection right behind its end did so within 5 ms at a load average of 6
 * on 7 cores and within 28 ms beside eight more busy processes.
 */
export const resetWaitMs: Ms = 50;
/**
 * Time after the end of a connection in which the rest of the request may still be written. A target that read on took
 * more than 50 ms for 12 MB on a loaded machine.
 */
export const requestWaitMs: Ms = 500;
/**
 * Size of a request body up to which it arrives together with its head: it fits in the initial congestion window of
 * 14,600 bytes (RFC 6928) besides the head, so that none of it is on its way when the target responds.
 */
const maxFirstFlightBytes = 8192;
/** First status that reports an error, so that the target need not have read the request to send it. */
const minErrorStatus = 400;

/** Whether a response has ended whole, its connection was reset or ended too early, or more has to be known. */
export type ResponseEndVerdict = 'whole' | 'reset' | 'early_end' | 'undecided';

/** What is known of a response whose connection has ended. */
export interface EndedResponse extends ResetExchange {
	readonly status: number;
	/** Latest result of a check of the connection for a reset. */
	readonly reset: ConnectionReset;
	/** Time since the end of the connection in which resets were checked for. */
	readonly sinceEndMs: Ms;
	/** The same since the kernel has accepted the last byte of the request; `undefined` until then. */
	readonly sinceAcceptedMs: Ms | undefined;
}

/**
 * Whether a reset may still arrive behind the end of a connection: the response has no length, and a part of the request
 * may not have reached the target before it responded.
 *
 * @example
 * mayBeResetLater({end: 'connection_end', requestBytes: 1_000_000}); // true
 */
export function mayBeResetLater({end, requestBytes}: ResetExchange): boolean {
	return end === 'connection_end' && requestBytes > maxFirstFlightBytes;
}

/**
 * Judges whether a response is whole whose connection has ended. A response without a length that ends before its request
 * was accepted in full is not whole, unless it reports an error. Decides within `requestWaitMs` and `resetWaitMs` of the
 * end.
 *
 * @example
 * judgeResponseEnd({end: 'connection_end', status: 200, requestBytes: 1_000_000, reset: 'none', sinceEndMs: 90, sinceAcceptedMs: 60}); // 'whole'
 */
export function judgeResponseEnd(response: EndedResponse): ResponseEndVerdict {
	const {status, reset, sinceEndMs, sinceAcceptedMs} = response;
	if (isCutByReset(reset, response)) {
		return 'reset';
	}

	if (!mayBeResetLater(response)) {
		return 'whole';
	}

	const isError = status >= minErrorStatus;
	if (sinceAcceptedMs === undefined && !isError) {
		return sinceEndMs < requestWaitMs ? 'undecided' : 'early_end';
	}

	return Math.min(sinceEndMs, sinceAcceptedMs ?? Infinity) < resetWaitMs ? 'undecided' : 'whole';
}
