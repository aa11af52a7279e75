import type {Clock, Ms} from '../clock/index.js';
import {RunningQuantile} from './running-quantile.js';

/** Weight of the newest measurement in the mean. */
const smoothing = 0.1;
const lowQuantile = 0.1;
const highQuantile = 0.9;
/** Bounds of one measured ratio: a wrong declaration is corrected, a single freeze does not spoil the mean. */
const minRatio = 0.01;
const maxRatio = 20;
/**
 * Measurements are forgotten over this time. Otherwise a pool that was slow once could have all its requests rejected,
 * and without requests it would never be measured again.
 */
const forgetMs: Ms = 15_000;

/** Measured per estimated service time of one pool. */
export interface PoolTimes {
	/** Exponentially weighted mean; 1 while unmeasured. */
	readonly mean: number;
	/** Tenth percentile: a call is hardly ever faster. 0 while unmeasured. */
	readonly low: number;
	/** Ninetieth percentile. */
	readonly high: number;
}

type Measured = {at: Ms; mean: number; low: RunningQuantile; high: RunningQuantile};

const unmeasured: PoolTimes = {mean: 1, low: 0, high: 1};

/**
 * Corrects the declared speeds of each pool by the measured service times.
 *
 * @example
 * const times = ServiceTimes.create(clock);
 * times.add('engines', {estimatedMs: 100, measuredMs: 130});
 * times.of('engines').mean;
 */
export class ServiceTimes {
	static create(clock: Clock): ServiceTimes {
		return new ServiceTimes(clock);
	}

	readonly #pools = new Map<string, Measured>();

	private constructor(private readonly clock: Clock) {}

	add(pool: string, {estimatedMs, measuredMs}: {estimatedMs: Ms; measuredMs: Ms}): void {
		const ratio = Math.min(maxRatio, Math.max(minRatio, measuredMs / Math.max(1, estimatedMs)));
		const at = this.clock.now();
		const measured = this.#pools.get(pool);
		if (!measured) {
			this.#pools.set(pool, {
				at,
				mean: ratio,
				low: RunningQuantile.create({quantile: lowQuantile, initial: ratio}),
				high: RunningQuantile.create({quantile: highQuantile, initial: ratio}),
			});
			return;
		}

		const known = this.of(pool).mean;
		measured.at = at;
		measured.mean = known + ((ratio - known) * smoothing);
		measured.low.add(ratio);
		measured.high.add(ratio);
	}

	of(pool: string): PoolTimes {
		const measured = this.#pools.get(pool);
		if (!measured) {
			return unmeasured;
		}

		const trust = Math.exp((measured.at - this.clock.now()) / forgetMs);
		const mean = 1 + ((measured.mean - 1) * trust);
		return {
			mean,
			low: Math.min(measured.low.value * trust, mean),
			high: Math.max(1 + ((measured.high.value - 1) * trust), mean),
		};
	}
}
