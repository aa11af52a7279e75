import type {Ms} from '../clock/index.js';
import type {AdmissionDecision} from './scheduler.js';
import type {ServiceTimeRatios} from './service-times.js';
import type {TeamShares} from './team-shares.js';

/** Load of a pool, used for admission control. */
export interface PoolLoad {
	/** Number of calls that the pool's targets serve concurrently. */
	readonly slots: number;
	/** Number of slots that can take a call now. */
	readonly freeSlots: number;
	/** Mean service time of a call. */
	readonly meanServiceMs: Ms;
	/** Predicted time until the next slot is free. */
	readonly nextSlotMs: Ms;
}

/** Forecast of one stage. `serviceMs` is the estimate from declared speeds; `ratios` corrects it by measurements. */
export interface StageForecast {
	readonly waitMs: Ms;
	readonly serviceMs: Ms;
	readonly ratios: ServiceTimeRatios;
}

/**
 * Admission control: predicts the duration of a request over all its stages and rejects it when that exceeds its
 * remaining time budget.
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
	 * Predicted wait of a team's next call. A team waits only for its own queue, regardless of the queues of other teams.
	 * It is served at the rate of its share, or faster when the other teams use less than theirs.
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

	/** Compares the prediction with the remaining time budget. A stage without a target has an `undefined` forecast. */
	decide(remainingMs: Ms, stages: ReadonlyArray<StageForecast | undefined>): AdmissionDecision {
		let predictedMs = 0;
		let waitMs = 0;
		let tailMs = 0;
		for (const stage of stages) {
			if (!stage) {
				return {admitted: false, predictedMs: Number.POSITIVE_INFINITY, reason: 'no_target'};
			}

			waitMs += stage.waitMs;
			predictedMs += stage.waitMs + (stage.serviceMs * stage.ratios.mean);
			tailMs = Math.max(tailMs, stage.serviceMs * (stage.ratios.high - stage.ratios.mean));
		}

		// While requests wait, the prediction includes the tail of the service time: admitting one that would probably miss
		// its deadline delays one that would meet it.
		predictedMs += waitMs > 0 ? tailMs : 0;
		return predictedMs > remainingMs ? {admitted: false, predictedMs, reason: 'overloaded'} : {admitted: true, predictedMs};
	}
}
