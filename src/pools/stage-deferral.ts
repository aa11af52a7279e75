import type {Ms} from '../clock/index.js';
import type {PlanForecast} from './plan-forecast.js';
import type {PlannedStage} from './stage-plan.js';

/** Time by which a deferred stage is expected to end before the branch that it runs beside; the times of calls vary by about this much. */
const deferralMarginMs: Ms = 150;
/** Delays below the resolution of timers count as none: a rounding error would be waited for again and again. */
const minDelayMs: Ms = 1;

/**
 * Decides when the stages of one plan start. Results hold memory at their target from the call until the final call has
 * fetched them, so that a short branch which starts together with a long one holds memory for the time of the long one.
 * Under load, targets with little memory then stand idle while plans with half of their results wait for the other half.
 * A stage therefore starts only when the rest of the plan is not expected to take longer than it.
 *
 * It handles bursts of plans with a branch of large results beside a chain of stages that is longer.
 *
 * @example
 * const delayMs = deferral.delayMs(0, {now, waitMs: 80});
 */
export class StageDeferral {
	static create(stages: readonly PlannedStage[], forecast: Pick<PlanForecast, 'pathMs' | 'stageMs'>): StageDeferral {
		return new StageDeferral(stages, forecast);
	}

	/** Times at which the stages were started. */
	readonly #startedMs = new Map<number, Ms>();
	readonly #ended = new Set<number>();
	/** Stages that come before or after each stage, also by way of others. */
	readonly #related: ReadonlyArray<ReadonlySet<number>>;

	private constructor(private readonly stages: readonly PlannedStage[], private readonly forecast: Pick<PlanForecast, 'pathMs' | 'stageMs'>) {
		const before = stages.map((_, stage) => collectInputs(stages, stage));
		this.#related = stages.map((_, stage) => new Set([stage, ...before[stage]!, ...before.flatMap((inputs, other) => inputs.has(stage) ? [other] : [])]));
	}

	/** Records that a stage has been submitted. */
	start(stage: number, now: Ms): void {
		this.#startedMs.set(stage, now);
	}

	/** Records that a stage has its results, or has failed. */
	end(stage: number): void {
		this.#ended.add(stage);
	}

	/** Returns the time for which a stage is still to be deferred; 0 if it is to start now. `waitMs` is the expected wait for its first call. */
	delayMs(stage: number, {now, waitMs}: {now: Ms; waitMs: Ms}): Ms {
		let restMs = 0;
		for (const other of this.stages.keys()) {
			if (!this.#related[stage]!.has(other) && !this.#ended.has(other)) {
				restMs = Math.max(restMs, this.#restMs(other, now));
			}
		}

		const delayMs = restMs - this.forecast.pathMs(stage) - waitMs - deferralMarginMs;
		return delayMs < minDelayMs ? 0 : delayMs;
	}

	/** Expected time from now to the final call for the branch of a stage that has not ended. */
	#restMs(stage: number, now: Ms): Ms {
		const startedMs = this.#startedMs.get(stage);
		const elapsedMs = startedMs === undefined ? 0 : Math.min(now - startedMs, this.forecast.stageMs(stage));
		return this.forecast.pathMs(stage) - elapsedMs;
	}
}

/** Returns the stages whose results a stage takes, also by way of others. */
function collectInputs(stages: readonly PlannedStage[], stage: number): Set<number> {
	const inputs = new Set<number>();
	const pending = [...stages[stage]!.after];
	for (let input = pending.pop(); input !== undefined; input = pending.pop()) {
		if (!inputs.has(input)) {
			inputs.add(input);
			pending.push(...stages[input]!.after);
		}
	}

	return inputs;
}
