import type {Ms} from '../clock/index.js';

/** Weight of the newest measurement. */
const smoothing = 0.2;
/** A slow measurement is forgotten over this time, so that a target that recovered is tried again. */
const forgetMs: Ms = 10_000;
/** Latency above this multiple of the expected one lowers the limit: less is ordinary variation. */
const toleratedSlowdown = 2;
/** A failed call lowers the limit more than a slow one. */
const failureBackoff = 0.7;
const slowBackoff = 0.9;

/**
 * Measured speed of one target, and the number of concurrent calls that its latency allows: the limit rises by about
 * one per round of calls and falls by a factor when calls are slow or fail (additive increase, multiplicative decrease).
 *
 * @example
 * const speed = TargetSpeed.create(8);
 * speed.succeeded(now, {expectedMs: 100, measuredMs: 130});
 */
export class TargetSpeed {
	/** Creates a speed for a target with the given slots, which are the highest limit. */
	static create(slots: number): TargetSpeed {
		return new TargetSpeed(slots);
	}

	#limit: number;
	#ratio = 1;
	#measuredAt: Ms = 0;
	#loweredAt: Ms = Number.NEGATIVE_INFINITY;

	private constructor(private readonly slots: number) {
		this.#limit = slots;
	}

	/** Calls that may be in flight at once, from all entry VMs together. */
	get limit(): number {
		return Math.max(1, Math.floor(this.#limit));
	}

	/** Measured service time relative to the expected one; returns to 1 while nothing is measured. */
	slowdown(now: Ms): number {
		return this.#ratio === 1 ? 1 : 1 + ((this.#ratio - 1) * Math.exp(-Math.max(0, now - this.#measuredAt) / forgetMs));
	}

	/** Takes the service time of a call; `expectedMs` is the estimate for an average target of the pool. */
	succeeded(now: Ms, times: {expectedMs: Ms; measuredMs: Ms}): void {
		const ratio = times.measuredMs / Math.max(1, times.expectedMs);
		this.#ratio = this.slowdown(now) + ((ratio - this.slowdown(now)) * smoothing);
		this.#measuredAt = now;
		if (this.#ratio > toleratedSlowdown) {
			this.#lower(now, slowBackoff, times.measuredMs);
		} else {
			this.#limit = Math.min(this.slots, this.#limit + (1 / this.#limit));
		}
	}

	/** Takes a call that failed or got lost. */
	failed(now: Ms, measuredMs: Ms): void {
		this.#lower(now, failureBackoff, measuredMs);
	}

	/** Lowers the limit once per round of calls: the calls in flight all saw the same congestion. */
	#lower(now: Ms, factor: number, roundMs: Ms): void {
		if (now - this.#loweredAt < roundMs) {
			return;
		}

		this.#loweredAt = now;
		this.#limit = Math.max(1, this.#limit * factor);
	}
}
