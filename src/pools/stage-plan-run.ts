import type {Ms} from '../clock/index.js';
import type {RankedJob} from './job-order.js';
import type {StageJob, StageJobOutcome, ZoneTransfer} from './stage-job.js';
import type {PlannedStage, StagePlan, StagePlanOutcome} from './stage-plan.js';

/** Time for a call and its results to travel between the host and a target, and for the results to be fetched. */
const stageTransferMs: Ms = 45;

/** What the run of a plan needs of its host. */
export interface PlanHost {
	now(): Ms;
	/** Expected time of a call with so many pieces of one job. */
	expectedCallMs(service: string, pieces: number): Ms;
	/** Time until a job of a stage is likely to start. */
	expectedWaitMs(service: string, job: RankedJob): Ms;
	/** Tells a pool of a job that comes when the stages before it have ended. */
	announce(service: string, id: string, job: RankedJob, pieces: number): void;
	withdraw(service: string, id: string): void;
	/** True while no piece of a job has been in a call. */
	isUntouched(service: string, id: string): boolean;
	runJob(service: string, job: StageJob, signal: AbortSignal): Promise<StageJobOutcome>;
	zoneOf(handle: string): string | undefined;
	free(handles: readonly string[]): void;
}

/** Time by which a plan has to be ahead of its objective to be run as on time: calls and engines vary by about this much. */
const objectiveMarginMs: Ms = 150;
/** Part of the whole path that is left when a request counts as committed. */
const committedShare = 0.5;

type StageRun = Promise<StageJobOutcome>;

/**
 * Runs the stages of one request in the order of what they take, each as soon as it can start, and frees every result
 * once all stages that take it have theirs. A plan that is not likely to meet its objective is run behind those that are.
 *
 * @example
 * const outcome = await StagePlanRun.create(host, plan, 'p1').run(signal);
 */
export class StagePlanRun {
	static create(host: PlanHost, plan: StagePlan, id: string): StagePlanRun {
		return new StagePlanRun(host, plan, id);
	}

	/** Expected time of all stages, as of the start. */
	readonly predictedMs: Ms;
	readonly #held = new Map<number, readonly string[]>();
	readonly #runs = new Map<number, StageRun>();
	readonly #isOnTime: boolean;
	readonly #totalMs: Ms;
	readonly #moved = new AbortController();

	private constructor(private readonly host: PlanHost, private readonly plan: StagePlan, private readonly id: string) {
		this.#totalMs = Math.max(0, ...plan.stages.map((_, stage) => this.#pathMs(stage)));
		this.predictedMs = this.#predictMs(plan.callByMs);
		this.#isOnTime = host.now() + this.predictedMs + objectiveMarginMs <= plan.callByMs;
	}

	/** Runs every stage. A failure of one ends the others. */
	async run(signal: AbortSignal): Promise<StagePlanOutcome> {
		const {plan, host} = this;
		const excessMs = host.now() + this.#predictMs(this.#isOnTime ? plan.callByMs : -Infinity) - plan.deadlineMs;
		if (excessMs > 0) {
			return {failure: 'overloaded', retryAfterMs: excessMs};
		}

		this.#announce();
		const failed = new AbortController();
		const stop = AbortSignal.any([signal, failed.signal, this.#moved.signal]);
		const outcomes = await Promise.all(plan.stages.map(async (_, stage) => {
			const outcome = await this.#start(stage, stop);
			if ('failure' in outcome) {
				failed.abort();
			}

			return outcome;
		}));
		this.#withdraw();
		const failures = outcomes.filter(outcome => 'failure' in outcome);
		const failure = failures.find(outcome => outcome.failure !== 'cancelled') ?? failures[0];
		if (failure) {
			for (const stage of this.#held.keys()) {
				this.#free(stage);
			}

			return this.#moved.signal.aborted ? {failure: 'host_left', retryAfterMs: 0} : failure;
		}

		return {
			results: plan.stages.flatMap(({resultBytes}, stage) => this.#isTaken(stage) ? [] : (this.#held.get(stage) ?? []).map(handle => ({handle, zone: host.zoneOf(handle) ?? '', bytes: resultBytes}))),
		};
	}

	/** Ends the plan for another host to run it, unless something of it has been started; tells whether it did. */
	moveIfUntouched(): boolean {
		const isUntouched = this.#held.size === 0 && this.plan.stages.every(({service}, stage) => this.host.isUntouched(service, this.#jobId(stage)));
		if (isUntouched) {
			this.#moved.abort();
		}

		return isUntouched;
	}

	#announce(): void {
		for (const [stage, {service, pieces, after}] of this.plan.stages.entries()) {
			if (pieces > 0 && after.length > 0) {
				this.host.announce(service, this.#jobId(stage), this.#rank(stage), pieces);
			}
		}
	}

	#withdraw(): void {
		for (const [stage, {service}] of this.plan.stages.entries()) {
			this.host.withdraw(service, this.#jobId(stage));
		}
	}

	#jobId(stage: number): string {
		return `${this.id}/${stage}`;
	}

	/** What a stage's place in the queue follows from. */
	#rank(stage: number): RankedJob {
		const {priority, callByMs, deadlineMs} = this.plan;
		const pathMs = this.#pathMs(stage);
		return {
			priority,
			isCommitted: pathMs <= this.#totalMs * committedShare,
			startByMs: this.#isOnTime ? callByMs - pathMs : -Infinity,
			deadlineMs: deadlineMs - pathMs + this.#stageMs(stage),
		};
	}

	async #start(stage: number, signal: AbortSignal): StageRun {
		let run = this.#runs.get(stage);
		if (!run) {
			run = this.#runStage(stage, signal);
			this.#runs.set(stage, run);
		}

		return run;
	}

	async #runStage(stage: number, signal: AbortSignal): StageRun {
		const {attemptId, pieceKey} = this.plan;
		const {after, service, resultBytes, pieces} = this.#stage(stage);
		const taken = await Promise.all(after.map(async other => this.#start(other, signal)));
		const failure = taken.find(outcome => 'failure' in outcome);
		if (failure) {
			return failure;
		}

		if (pieces === 0) {
			return {results: []};
		}

		const inputs = after.flatMap(other => this.#held.get(other) ?? []);
		const outcome = await this.host.runJob(service, {
			id: this.#jobId(stage),
			attemptId,
			stage,
			pieces,
			key: inputs.length === 0 ? pieceKey : undefined,
			inputs,
			resultBytes,
			transfers: this.#pulls(stage),
			...this.#rank(stage),
		}, signal);
		if ('results' in outcome) {
			this.#held.set(stage, outcome.results);
			this.#freeTaken();
		}

		return outcome;
	}

	/** Every piece takes all results of the stages before it; results that no stage takes go to the last call. */
	#pulls(stage: number): ZoneTransfer[] {
		const {after, resultBytes, pieces} = this.#stage(stage);
		const bytes = new Map<string, number>();
		const add = (zone: string | undefined, count: number) => {
			if (zone !== undefined) {
				bytes.set(zone, (bytes.get(zone) ?? 0) + count);
			}
		};

		for (const other of after) {
			for (const handle of this.#held.get(other) ?? []) {
				add(this.host.zoneOf(handle), this.#stage(other).resultBytes * pieces);
			}
		}

		if (!this.#isTaken(stage)) {
			add(this.plan.zone, resultBytes * pieces);
		}

		return [...bytes].map(([zone, count]) => ({zone, bytes: count}));
	}

	/** Frees the results whose every taker has its own results. */
	#freeTaken(): void {
		for (const stage of this.#held.keys()) {
			const takers = this.#takers(stage);
			if (takers.length > 0 && takers.every(taker => this.#held.has(taker) || this.#stage(taker).pieces === 0)) {
				this.#free(stage);
			}
		}
	}

	#free(stage: number): void {
		const handles = this.#held.get(stage) ?? [];
		this.#held.set(stage, []);
		this.host.free(handles);
	}

	#stage(stage: number): PlannedStage {
		return this.plan.stages[stage]!;
	}

	#takers(stage: number): number[] {
		return this.plan.stages.flatMap((other, index) => other.after.includes(stage) ? [index] : []);
	}

	#isTaken(stage: number): boolean {
		return this.#takers(stage).length > 0;
	}

	/** Expected time of one stage without waiting. */
	#stageMs(stage: number): Ms {
		const {pieces, service} = this.#stage(stage);
		return pieces === 0 ? 0 : this.host.expectedCallMs(service, pieces) + stageTransferMs;
	}

	/** Expected time from the start of a stage to the start of the last call, without waiting. */
	#pathMs(stage: number): Ms {
		return this.#stageMs(stage) + Math.max(0, ...this.#takers(stage).map(taker => this.#pathMs(taker)));
	}

	/** Expected time of all stages, waiting included, when the last call should start by a time. */
	#predictMs(callByMs: Ms): Ms {
		const {plan, host} = this;
		const endMs = (stage: number): Ms => {
			const {service, pieces, after} = this.#stage(stage);
			const readyMs = Math.max(0, ...after.map(other => endMs(other)));
			if (pieces === 0) {
				return readyMs;
			}

			// The work that waits now is worked off while the stages before this one run.
			const waitMs = host.expectedWaitMs(service, {
				startByMs: callByMs - this.#pathMs(stage), priority: plan.priority, deadlineMs: plan.deadlineMs, isCommitted: false,
			});
			return Math.max(readyMs, waitMs) + this.#stageMs(stage);
		};

		return Math.max(0, ...plan.stages.map((_, stage) => endMs(stage)));
	}
}
