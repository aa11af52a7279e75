import type {Clock, Ms} from '../clock/index.js';
import {RunningQuantile} from './running-quantile.js';

/** Weight of the latest measurement in the mean. */
const smoothingFactor = 0.1;
const lowQuantile = 0.1;
const highQuantile = 0.9;
/**
 * Bounds of a single ratio: wide enough to correct a wrong declaration, too narrow for one frozen call to distort the
 * mean.
 */
const minRatio = 0.01;
const maxRatio = 20;
/**
 * Time constant with which measurements decay. Without decay, a pool that was slow once could have all its requests
 * rejected, and without requests it would never be measured again.
 */
const decayMs: Ms = 15_000;

/** Ratios of measured to estimated service time in one pool. */
export interface ServiceTimeRatios {
	/** Exponentially weighted mean; 1 without measurements. */
	readonly mean: number;
	/** 10th percentile, used as a lower bound of the service time; 0 without measurements. */
	readonly low: number;
	/** 90th percentile; 1 without measurements. */
	readonly high: number;
}

type Measurements = {measuredAt: Ms; mean: number; low: RunningQuantile; high: RunningQuantile};

const unmeasured: ServiceTimeRatios = {mean: 1, low: 0, high: 1};

/**
 * Ratios of measured to estimated service time by pool, which correct estimates from declared speeds.
 *
 * @example
 * const times = ServiceTimes.create(clock);
 * times.add('engines', {estimatedMs: 100, measuredMs: 130});
 * times.ratios('engines').mean;
 */
export class ServiceTimes {
	static create(clock: Clock): ServiceTimes {
		return new ServiceTimes(clock);
	}

	readonly #pools = new Map<string, Measurements>();

	private constructor(private readonly clock: Clock) {}

	/** Records the estimated and measured service time of a completed call. */
	add(pool: string, {estimatedMs, measuredMs}: {estimatedMs: Ms; measuredMs: Ms}): void {
		const ratio = Math.min(maxRatio, Math.max(minRatio, measuredMs / Math.max(1, estimatedMs)));
		const measuredAt = this.clock.now();
		const measurements = this.#pools.get(pool);
		if (!measurements) {
			this.#pools.set(pool, {
				measuredAt,
				mean: ratio,
				low: RunningQuantile.create({quantile: lowQuantile, initial: ratio}),
				high: RunningQuantile.create({quantile: highQuantile, initial: ratio}),
			});
			return;
		}

		const previousMean = this.ratios(pool).mean;
		measurements.measuredAt = measuredAt;
		measurements.mean = previousMean + ((ratio - previousMean) * smoothingFactor);
		measurements.low.add(ratio);
		measurements.high.add(ratio);
	}

	/** Current ratios of a pool. */
	ratios(pool: string): ServiceTimeRatios {
		const measurements = this.#pools.get(pool);
		if (!measurements) {
			return unmeasured;
		}

		const decay = Math.exp((measurements.measuredAt - this.clock.now()) / decayMs);
		const mean = 1 + ((measurements.mean - 1) * decay);
		return {
			mean,
			low: Math.min(measurements.low.value * decay, mean),
			high: Math.max(1 + ((measurements.high.value - 1) * decay), mean),
		};
	}
}
