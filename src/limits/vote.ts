import type {Ms} from '../clock/index.js';

/** Time for which a vote holds at the candidate. A lost coordinator is replaced after it; waits for permits lie within it. */
export const leaseMs: Ms = 2000;
/** Further time for which the voter keeps it, for clocks that run at slightly different rates. */
const voteMarginMs: Ms = 50;

/**
 * The vote of one member of a cell for its coordinator. It goes to one candidate at a time, and to another only once the
 * earlier one no longer counts on it, so that at most one candidate has the votes of more than half of the cell.
 *
 * @example
 * const isGranted = vote.give('incarnation-7', clock.now());
 */
export class Vote {
	/** An earlier process of the same entry VM may have given its vote until now. */
	static create(now: Ms): Vote {
		return new Vote(now + leaseMs + voteMarginMs);
	}

	#candidate: string | undefined;

	private constructor(private untilMs: Ms) {}

	/** Gives or renews the vote; returns whether the candidate has it. */
	give(candidate: string, now: Ms): boolean {
		if (candidate !== this.#candidate && now < this.untilMs) {
			return false;
		}

		this.#candidate = candidate;
		this.untilMs = now + leaseMs + voteMarginMs;
		return true;
	}
}
