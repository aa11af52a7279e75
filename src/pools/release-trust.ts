/** Factor applied to the trust after a call without room that counted on releases, and its growth after one with room. */
const cutFactor = 0.5;
const growth = 0.05;

/**
 * Learns how far calls can count on memory that is expected to be released during them. Some targets take the
 * memory of all results when a call starts, so that later releases come too late, others when a piece ends.
 */
export class ReleaseTrust {
	static create(): ReleaseTrust {
		return new ReleaseTrust();
	}

	#fraction = 1;

	private constructor() {}

	/** Fraction of the memory that is expected to be released during a call which the call may use. */
	get fraction(): number {
		return this.#fraction;
	}

	/** Records the end of a call that counted on releases; `hadRoom` tells whether there was memory for all of its results. */
	record(hadRoom: boolean): void {
		this.#fraction = hadRoom ? Math.min(1, this.#fraction + growth) : this.#fraction * cutFactor;
	}
}
