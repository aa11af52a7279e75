import type {Ms} from '../clock/index.js';
import {GuavamillError} from '../errors/index.js';
import type {JobUrgency} from './job-order.js';
import type {PieceKind} from './piece-kind.js';
import type {PlannedStage, StagePlan} from './stage-plan.js';

/** Time for a call and its results to travel between the host and a target, and for the results to be fetched. */
const stageTransferMs: Ms = 45;

/** Expected times at the pools of one host. */
export interface PoolTimes {
	/** Returns the expected time of a call with this many pieces of one job of a kind. */
	expectedCallMs(service: string, pieces: number, kind: PieceKind): Ms;
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
	/** Throws if a stage takes results of itself, also by way of others, or of a stage that the plan lacks. */
	static create(plan: StagePlan, times: PoolTimes): PlanForecast {
		return new PlanForecast(plan, times);
	}

	readonly #consumers: readonly number[][];
	/** Stages in an order in which each comes after those whose results it takes. */
	readonly #order: readonly number[];

	private constructor(private readonly plan: StagePlan, private readonly times: PoolTimes) {
		this.#consumers = plan.stages.map(() => []);
		for (const [index, {after}] of plan.stages.entries()) {
			for (const other of after) {
				this.#consumersOf(other).push(index);
			}
		}

		this.#order = this.#sortStages();
	}

	/** Expected time of the longest path, without waiting. */
	get totalMs(): Ms {
		return Math.max(0, ...this.#pathsMs());
	}

	/** Expected time of a stage, without waiting. */
	stageMs(stage: number): Ms {
		const {pieces, service, resultBytes} = this.#stage(stage);
		return pieces === 0 ? 0 : this.times.expectedCallMs(service, pieces, {stage, resultBytes}) + stageTransferMs;
	}

	/** Expected time from the start of a stage to the start of the final call, without waiting. */
	pathMs(stage: number): Ms {
		return this.#pathsMs()[stage]!;
	}

	/** Indexes of the stages that take the results of a stage as input. */
	consumers(stage: number): readonly number[] {
		return this.#consumersOf(stage);
	}

	/** Expected time of all stages, including waiting, when the final call should start by `callByMs`. */
	predictMs(callByMs: Ms): Ms {
		const {plan, times} = this;
		const pathsMs = this.#pathsMs();
		const endMs = plan.stages.map(() => 0);
		for (const stage of this.#order) {
			const {service, pieces, after} = this.#stage(stage);
			const readyMs = Math.max(0, ...after.map(other => endMs[other]!));
			// The current backlog is processed while the preceding stages run, so both waits overlap.
			const waitMs = pieces === 0
				? 0
				: times.expectedWaitMs(service, {
					startByMs: callByMs - pathsMs[stage]!, priority: plan.priority, deadlineMs: plan.deadlineMs, isCommitted: false,
				});
			endMs[stage] = Math.max(readyMs, waitMs) + this.stageMs(stage);
		}

		return Math.max(0, ...endMs);
	}

	/** Times of the longest paths from all stages. Each stage is visited once, since a plan may have very many paths. */
	#pathsMs(): readonly Ms[] {
		const pathsMs = this.plan.stages.map(() => 0);
		for (const stage of this.#order.toReversed()) {
			pathsMs[stage] = this.stageMs(stage) + Math.max(0, ...this.#consumersOf(stage).map(consumer => pathsMs[consumer]!));
		}

		return pathsMs;
	}

	#sortStages(): number[] {
		const order: number[] = [];
		const missing = this.plan.stages.map(({after}) => after.length);
		const ready = missing.flatMap((count, stage) => count === 0 ? [stage] : []);
		for (let stage = ready.pop(); stage !== undefined; stage = ready.pop()) {
			order.push(stage);
			for (const consumer of this.#consumersOf(stage)) {
				missing[consumer]!--;
				if (missing[consumer] === 0) {
					ready.push(consumer);
				}
			}
		}

		if (order.length < this.plan.stages.length) {
			throw new GuavamillError('Cannot forecast a plan: a stage takes results of itself');
		}

		return order;
	}

	#consumersOf(stage: number): number[] {
		const consumers = this.#consumers[stage];
		if (!consumers) {
			throw new GuavamillError(`Cannot forecast a plan: it has no stage ${stage}`);
		}

		return consumers;
	}

	#stage(stage: number): PlannedStage {
		return this.plan.stages[stage]!;
	}
}
