import type {Ms} from '../clock/index.js';

/** Counts of a claim service, for metrics. */
export interface ClaimStats {
	/** Keys held in memory. */
	readonly held: number;
	/** Bytes of the answers held. */
	readonly answerBytes: number;
	/** Append calls to the stream `claims`. */
	readonly appends: number;
	/** Claims of this process that won. */
	readonly won: number;
	/** Claims of this process that lost or expired. */
	readonly lost: number;
	/** Age of what this process knows of the stream, in ms. */
	readonly ageMs: Ms;
}
