import type {Ms} from '../clock/index.js';

/** Weight of the latest measurement in the exponential moving average. */
const smoothingFactor = 0.2;
/** Time constant with which a measured slowdown decays, so that a recovered target receives calls again. */
const slowdownDecayMs: Ms = 10_000;
/** Slowdown above which the limit decreases; smaller values are normal variation. */
const maxNormalSlowdown = 2;
/** Factor applied to the limit after a failed call: a failure is a stronger sign of overload than a slow call. */
const failureDecreaseFactor = 0.7;
/** Factor applied to the limit after a slow call. */
const slowDecreaseFactor = 0.9;

/**
 * Measured slowdown of one target and its adaptive concurrency limit. The limit follows additive increase,
 * multiplicative decrease (AIMD): it grows by about one per round of calls and shrinks by a factor when calls are slow
 * or fail.
 *
 * @example
 * const speed = TargetSpeed.create(8);
 * speed.recordSuccess(now, {expectedMs: 100, measuredMs: 130});
 */
export class TargetSpeed {
	/** Creates the measurement of a target with `slots` slots, which is also the maximum of the limit. */
	static create(slots: number): TargetSpeed {
		return new TargetSpeed(slots);
	}

	#limit: number;
	#slowdownRatio = 1;
	#measuredAt: Ms = 0;
	#decreasedAt: Ms = Number.NEGATIVE_INFINITY;

	private constructor(private readonly slots: number) {
		this.#limit = slots;
	}

	/** Maximum number of calls in flight from all entry VMs together. */
	get limit(): number {
		return Math.max(1, Math.floor(this.#limit));
	}

	/** Ratio of the measured service time to the expected one; decays to 1 without new measurements. */
	slowdown(now: Ms): number {
		return this.#slowdownRatio === 1 ? 1 : 1 + ((this.#slowdownRatio - 1) * Math.exp(-Math.max(0, now - this.#measuredAt) / slowdownDecayMs));
	}

	/** Records the service time of a completed call; `expectedMs` is the estimate for an average target of the pool. */
	recordSuccess(now: Ms, times: {expectedMs: Ms; measuredMs: Ms}): void {
		const ratio = times.measuredMs / Math.max(1, times.expectedMs);
		this.#slowdownRatio = this.slowdown(now) + ((ratio - this.slowdown(now)) * smoothingFactor);
		this.#measuredAt = now;
		if (this.#slowdownRatio > maxNormalSlowdown) {
			this.#decreaseLimit(now, slowDecreaseFactor, times.measuredMs);
		} else {
			this.#limit = Math.min(this.slots, this.#limit + (1 / this.#limit));
		}
	}

	/** Records a call that failed or whose connection was lost. */
	recordFailure(now: Ms, measuredMs: Ms): void {
		this.#decreaseLimit(now, failureDecreaseFactor, measuredMs);
	}

	/** Decreases the limit at most once per round of calls, because all calls in flight see the same congestion. */
	#decreaseLimit(now: Ms, factor: number, roundMs: Ms): void {
		if (now - this.#decreasedAt < roundMs) {
			return;
		}

		this.#decreasedAt = now;
		this.#limit = Math.max(1, this.#limit * factor);
	}
}
