import type {WholeBodyEnd} from './body-framing.js';
import type {ConnectionReset} from './ended-connection.js';

/** The exchange whose connection was reset. */
export interface ResetExchange {
	/** How the body of the response has ended as far as it arrived. */
	readonly end: WholeBodyEnd;
	/** Size of the body of the request. */
	readonly requestBytes: number;
}

/**
 * Whether a response may lack its end, given a reset that came with the end of its connection. A reset behind an orderly
 * end shows that the target has not read all of the request: it gave the request up, and a response without a length may
 * be cut then.
 *
 * @example
 * isCutByReset('after_end', {end: 'connection_end', requestBytes: 12_000_000}); // true
 */
export function isCutByReset(reset: ConnectionReset, {end, requestBytes}: ResetExchange): boolean {
	return reset === 'instead_of_end' || (reset === 'after_end' && end === 'connection_end' && requestBytes > 0);
}
