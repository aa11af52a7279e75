import type {Ms} from '../clock/index.js';

/** Statistics of a claim service, for metrics. */
export interface ClaimStats {
	/** Number of keys held in memory. */
	readonly held: number;
	/** Total size of the answers held in memory, in bytes. */
	readonly answerBytes: number;
	/** Number of append calls to the stream `claims`. */
	readonly appends: number;
	/** Number of claims of this process that won. */
	readonly won: number;
	/** Number of claims of this process that lost or expired. */
	readonly lost: number;
	/** Age of the claim table, in ms: time since the start of the last read that reached the end of the stream. */
	readonly ageMs: Ms;
}
