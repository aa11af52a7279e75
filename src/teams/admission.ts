import type {Ms} from '../clock/index.js';
import type {AdmissionDecision} from './scheduler.js';
import type {PoolTimes} from './service-times.js';
import type {TeamShares} from './team-shares.js';

/** Load of a pool as admission control sees it. */
export interface PoolLoad {
	/** Calls that the pool's targets serve at once. */
	readonly slots: number;
	/** Slots without a call. */
	readonly freeSlots: number;
	/** Mean service time of a call. */
	readonly meanServiceMs: Ms;
	/** Predicted time until the next slot is free. */
	readonly nextSlotMs: Ms;
}

/** Forecast of one stage. `serviceMs` is the estimate by declared speeds. */
export interface StageForecast {
	readonly waitMs: Ms;
	readonly serviceMs: Ms;
	readonly times: PoolTimes;
}

/**
 * Admission control: predicts the time of a request over all its stages and rejects it when the budget is shorter.
 *
 * @example
 * const admission = Admission.create();
 * admission.decide(9000, forecasts);
 */
export class Admission {
	static create(): Admission {
		return new Admission();
	}

	private constructor() {}

	/**
	 * Predicted wait of a team's next call. A team waits for its own queue only, whatever other teams have queued. It
	 * is served at the rate of its share, or faster when the other teams hold less than theirs.
	 */
	waitMs(team: string, shares: TeamShares, load: PoolLoad): Ms {
		const excessMs = Math.max(0, shares.queuedMs - (load.freeSlots * load.meanServiceMs));
		if (load.freeSlots > 0 && excessMs === 0) {
			return 0;
		}

		const slots = Math.max(1, load.slots);
		const othersSlots = (shares.inFlightMs - shares.teamInFlightMs(team)) / Math.max(1, load.meanServiceMs);
		const rate = Math.max(shares.share(team) * slots, slots - othersSlots);
		return load.nextSlotMs + (Math.min(shares.teamQueuedMs(team), excessMs) / rate);
	}

	/** Decides by the remaining budget. An `undefined` forecast is a stage whose pool has no target. */
	decide(remainingMs: Ms, stages: ReadonlyArray<StageForecast | undefined>): AdmissionDecision {
		let predictedMs = 0;
		let waitMs = 0;
		let tailMs = 0;
		for (const stage of stages) {
			if (!stage) {
				return {admitted: false, predictedMs: Number.POSITIVE_INFINITY, reason: 'no_target'};
			}

			waitMs += stage.waitMs;
			predictedMs += stage.waitMs + (stage.serviceMs * stage.times.mean);
			tailMs = Math.max(tailMs, stage.serviceMs * (stage.times.high - stage.times.mean));
		}

		// While requests wait, one that would probably be late takes the time of one that would not.
		predictedMs += waitMs > 0 ? tailMs : 0;
		return predictedMs > remainingMs ? {admitted: false, predictedMs, reason: 'overloaded'} : {admitted: true, predictedMs};
	}
}
