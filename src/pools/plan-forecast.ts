import type {Ms} from '../clock/index.js';
import type {JobUrgency} from './job-order.js';
import type {PlannedStage, StagePlan} from './stage-plan.js';

/** Time for a call and its results to travel between the host and a target, and for the results to be fetched. */
const stageTransferMs: Ms = 45;

/** Expected times at the pools of one host. */
export interface PoolTimes {
	/** Returns the expected time of a call with this many pieces of one job. */
	expectedCallMs(service: string, pieces: number): Ms;
	/** Returns the expected time until a job starts. */
	expectedWaitMs(service: string, job: JobUrgency): Ms;
}

/**
 * Forecasts the times of a stage plan at the pools of a host.
 *
 * @example
 * const predictedMs = PlanForecast.create(plan, host).predictMs(plan.callByMs);
 */
export class PlanForecast {
	static create(plan: StagePlan, times: PoolTimes): PlanForecast {
		return new PlanForecast(plan, times);
	}

	private constructor(private readonly plan: StagePlan, private readonly times: PoolTimes) {}

	/** Expected time of the longest path, without waiting. */
	get totalMs(): Ms {
		return Math.max(0, ...this.plan.stages.map((_, stage) => this.pathMs(stage)));
	}

	/** Expected time of a stage, without waiting. */
	stageMs(stage: number): Ms {
		const {pieces, service} = this.#stage(stage);
		return pieces === 0 ? 0 : this.times.expectedCallMs(service, pieces) + stageTransferMs;
	}

	/** Expected time from the start of a stage to the start of the final call, without waiting. */
	pathMs(stage: number): Ms {
		return this.stageMs(stage) + Math.max(0, ...this.consumers(stage).map(consumer => this.pathMs(consumer)));
	}

	/** Indexes of the stages that take the results of a stage as input. */
	consumers(stage: number): number[] {
		return this.plan.stages.flatMap((other, index) => other.after.includes(stage) ? [index] : []);
	}

	/** Expected time of all stages, including waiting, when the final call should start by `callByMs`. */
	predictMs(callByMs: Ms): Ms {
		const {plan, times} = this;
		const endMs = (stage: number): Ms => {
			const {service, pieces, after} = this.#stage(stage);
			const readyMs = Math.max(0, ...after.map(other => endMs(other)));
			if (pieces === 0) {
				return readyMs;
			}

			// The current backlog is processed while the preceding stages run, so both waits overlap.
			const waitMs = times.expectedWaitMs(service, {
				startByMs: callByMs - this.pathMs(stage), priority: plan.priority, deadlineMs: plan.deadlineMs, isCommitted: false,
			});
			return Math.max(readyMs, waitMs) + this.stageMs(stage);
		};

		return Math.max(0, ...plan.stages.map((_, stage) => endMs(stage)));
	}

	#stage(stage: number): PlannedStage {
		return this.plan.stages[stage]!;
	}
}
