import {setMaxListeners} from 'node:events';
import type {Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {JobUrgency} from './job-order.js';
import type {StageJob, StageJobOutcome, ZoneTransfer} from './stage-job.js';
import {StageDeferral} from './stage-deferral.js';
import type {KindPieces} from './piece-times.js';
import {PlanForecast, type PoolTimes} from './plan-forecast.js';
import type {
	PlannedStage, StagePlan, StagePlanFailure, StagePlanOutcome,
} from './stage-plan.js';

/** Operations of the pool host that a plan run uses. */
export interface PlanHost extends PoolTimes {
	/** Logger of the decisions about single stages. */
	readonly logger: Pick<PartLogger, 'debug'>;
	now(): Ms;
	/** Resolves after `delayMs`, or as soon as `signal` aborts. */
	sleep(delayMs: Ms, signal: AbortSignal): Promise<void>;
	/** Announces a job that will be submitted once the preceding stages have ended. */
	announce(service: string, id: string, job: JobUrgency, work: KindPieces): void;
	/** Removes an announced job. */
	withdraw(service: string, id: string): void;
	/** Whether no piece of a job has been in a call yet; also true for a job that is not in the pool. */
	isUnstarted(service: string, id: string): boolean;
	/** Reserves the pieces that a plan sends again in the retry budgets of their services, all or none, and returns whether it did. */
	reserveRetries(plan: StagePlan): boolean;
	/** Releases reserved pieces of a stage that is not submitted. */
	releaseRetries(service: string, pieces: number): void;
	/** Submits a job, with the retries that are reserved for it, and resolves with its outcome; never rejects. */
	runJob(service: string, job: StageJob, signal: AbortSignal): Promise<StageJobOutcome>;
	/** Returns the availability zone of the target that holds a result, if known. */
	zoneOf(handle: string): string | undefined;
	/** Releases results that are no longer needed. */
	free(handles: readonly string[]): void;
}

/** Margin by which a plan must be predicted to meet its objective to count as on time; call and engine times vary by about this much. */
export const objectiveMarginMs: Ms = 150;
/** Delay after which a caller may ask again for what the retry budget does not suffice for; its next request is a new one. */
const noBudgetRetryAfterMs: Ms = 100;
/** A job is committed when at most this fraction of the total path time remains. */
const committedShare = 0.5;

type StageRun = Promise<StageJobOutcome>;

/**
 * Runs the stages of one request in dependency order, each as soon as its inputs are ready, and frees the results of a
 * stage once all stages that take them have their own. A plan that is not likely to meet its objective runs behind those
 * that are.
 *
 * @example
 * const outcome = await StagePlanRun.create(host, plan, 'p1').run(signal);
 */
export class StagePlanRun {
	static create(host: PlanHost, plan: StagePlan, id: string): StagePlanRun {
		return new StagePlanRun(host, plan, id);
	}

	/** Expected time of all stages, predicted when the run was created. */
	readonly predictedMs: Ms;
	/** Handles of the results of each ended stage; empty once they are freed. */
	readonly #results = new Map<number, readonly string[]>();
	readonly #runs = new Map<number, StageRun>();
	/** Stages whose jobs have been submitted, with the retries that were reserved for them. */
	readonly #submitted = new Set<number>();
	/** Number of pieces sent by stage. */
	readonly #sentPieces: number[];
	readonly #isOnTime: boolean;
	/** Time of the longest path, without waiting. */
	readonly #totalMs: Ms;
	readonly #createdMs: Ms;
	readonly #forecast: PlanForecast;
	readonly #deferral: StageDeferral;
	/** Aborts when a stage ends, so that deferred stages are reconsidered. */
	#stageEnd = new AbortController();
	readonly #handOver = new AbortController();

	private constructor(private readonly host: PlanHost, private readonly plan: StagePlan, private readonly id: string) {
		this.#createdMs = host.now();
		this.#sentPieces = plan.stages.map(() => 0);
		this.#forecast = PlanForecast.create(plan, host);
		this.#deferral = StageDeferral.create(plan.stages, this.#forecast);
		this.#totalMs = this.#forecast.totalMs;
		this.predictedMs = this.#forecast.predictMs(plan.callByMs);
		this.#isOnTime = this.#createdMs + this.predictedMs + objectiveMarginMs <= plan.callByMs;
	}

	/** Runs all stages; the failure of one cancels the others. */
	async run(signal: AbortSignal): Promise<StagePlanOutcome> {
		const {plan, host} = this;
		const excessMs = host.now() + this.#forecast.predictMs(this.#isOnTime ? plan.callByMs : -Infinity) - plan.deadlineMs;
		if (excessMs > 0) {
			return this.#fail({failure: 'overloaded', retryAfterMs: excessMs});
		}

		if (!host.reserveRetries(plan)) {
			return this.#fail({failure: 'no_budget', retryAfterMs: noBudgetRetryAfterMs});
		}

		this.#announce();
		const failed = new AbortController();
		const stop = AbortSignal.any([signal, failed.signal, this.#handOver.signal]);
		// Each job listens to it until its end; the runtime warns of more than 10 listeners as of a leak.
		setMaxListeners(0, stop);
		let outcomes: StageJobOutcome[];
		try {
			outcomes = await this.#runStages(stop, failed);
		} finally {
			this.#releaseRetries();
		}

		const failures = outcomes.filter(outcome => 'failure' in outcome);
		const failure = failures.find(outcome => outcome.failure !== 'cancelled') ?? failures[0];
		if (failure) {
			this.#freeAll();
			return this.#fail(this.#handOver.signal.aborted ? {failure: 'host_left', retryAfterMs: 0} : failure);
		}

		return {
			results: plan.stages.flatMap(({resultBytes}, stage) => this.#isConsumed(stage) ? [] : (this.#results.get(stage) ?? []).map(handle => ({handle, zone: host.zoneOf(handle) ?? '', bytes: resultBytes}))),
		};
	}

	#releaseRetries(): void {
		for (const [stage, {service}] of this.plan.stages.entries()) {
			const pieces = this.plan.sentPieces?.[stage] ?? 0;
			if (pieces > 0 && !this.#submitted.has(stage)) {
				this.host.releaseRetries(service, pieces);
			}
		}
	}

	/** The pieces of a stage are sent in their order, so that those of the run that sent most are those of all runs. */
	#fail({failure, retryAfterMs}: Pick<StagePlanFailure, 'failure' | 'retryAfterMs'>): StagePlanFailure {
		const {stages, sentPieces = []} = this.plan;
		return {failure, retryAfterMs, sentPieces: stages.map(({pieces}, stage) => Math.min(pieces, Math.max(sentPieces[stage] ?? 0, this.#sentPieces[stage]!)))};
	}

	/** Ends the plan so that another host runs it. */
	handOver(): void {
		this.#handOver.abort();
	}

	/** Resolves once all stages have ended; the failure of one, or an error, cancels the others. */
	async #runStages(stop: AbortSignal, failed: AbortController): Promise<StageJobOutcome[]> {
		const settled = await Promise.allSettled(this.plan.stages.map(async (_, stage) => {
			try {
				const outcome = await this.#start(stage, stop);
				if ('failure' in outcome) {
					failed.abort();
				}

				return outcome;
			} catch (err) {
				failed.abort();
				throw err;
			}
		}));
		this.#withdraw();
		const rejected = settled.find(each => each.status === 'rejected');
		if (rejected) {
			this.#freeAll();
			throw rejected.reason as Error;
		}

		return settled.flatMap(each => each.status === 'fulfilled' ? each.value : []);
	}

	/** Ends the plan so that another host runs it, unless any of it has started. Returns whether it was ended. */
	handOverIfUnstarted(): boolean {
		const isUnstarted = this.#results.size === 0 && this.plan.stages.every(({service}, stage) => this.host.isUnstarted(service, this.#jobId(stage)));
		if (isUnstarted) {
			this.handOver();
		}

		return isUnstarted;
	}

	#announce(): void {
		for (const [stage, {service, pieces, after, resultBytes}] of this.plan.stages.entries()) {
			if (pieces > 0 && after.length > 0) {
				this.host.announce(service, this.#jobId(stage), this.#urgency(stage), {kind: {stage, resultBytes}, pieces});
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

	/** Properties that determine the place of the job of a stage in its queue. */
	#urgency(stage: number): JobUrgency {
		const {priority, callByMs, deadlineMs} = this.plan;
		const pathMs = this.#forecast.pathMs(stage);
		return {
			priority,
			isCommitted: pathMs <= this.#totalMs * committedShare,
			startByMs: this.#isOnTime ? callByMs - pathMs : -Infinity,
			deadlineMs: deadlineMs - pathMs + this.#forecast.stageMs(stage),
		};
	}

	/** Starts a stage once; later calls return the same promise. */
	async #start(stage: number, signal: AbortSignal): StageRun {
		let run = this.#runs.get(stage);
		if (!run) {
			run = this.#runStage(stage, signal);
			this.#runs.set(stage, run);
		}

		return run;
	}

	async #runStage(stage: number, signal: AbortSignal): StageRun {
		const {attemptId, pieceKey, onCrash} = this.plan;
		const {after, service, resultBytes, pieces} = this.#stage(stage);
		const inputOutcomes = await Promise.all(after.map(async other => this.#start(other, signal)));
		const failure = inputOutcomes.find(outcome => 'failure' in outcome);
		if (failure) {
			return failure;
		}

		if (pieces === 0) {
			this.#endStage(stage);
			return {results: []};
		}

		await this.#deferStage(stage, signal);
		const inputs = after.flatMap(other => this.#results.get(other) ?? []);
		this.#submitted.add(stage);
		this.#deferral.start(stage, this.host.now());
		const outcome = await this.host.runJob(service, {
			id: this.#jobId(stage),
			attemptId,
			stage,
			pieces,
			sentPieces: this.plan.sentPieces?.[stage],
			key: inputs.length === 0 ? pieceKey : undefined,
			inputs,
			resultBytes,
			transfers: this.#transfers(stage),
			...(this.plan.regions ? {regions: this.plan.regions} : {}),
			onCrash,
			...this.#urgency(stage),
		}, signal);
		this.#endStage(stage);
		this.#sentPieces[stage] = 'results' in outcome ? pieces : outcome.sentPieces ?? 0;
		if ('results' in outcome) {
			this.#results.set(stage, outcome.results);
			this.#freeConsumed();
		}

		return outcome;
	}

	/** Resolves when a stage is to be submitted. */
	async #deferStage(stage: number, signal: AbortSignal): Promise<void> {
		const {host} = this;
		const {service} = this.#stage(stage);
		while (!signal.aborted) {
			const now = host.now();
			// Most stages are not deferred; the expected wait takes a pass over all jobs.
			if (this.#deferral.delayMs(stage, {now, waitMs: 0}) === 0) {
				return;
			}

			const waitMs = host.expectedWaitMs(service, this.#urgency(stage));
			const delayMs = this.#deferral.delayMs(stage, {now, waitMs});
			if (delayMs === 0) {
				return;
			}

			host.logger.debug('Deferred a stage: the rest of its plan takes longer.', {
				id: this.plan.attemptId, stage, service, path_ms: Math.round(this.#forecast.pathMs(stage)), wait_ms: Math.round(waitMs), delay_ms: Math.round(delayMs), age_ms: Math.round(now - this.#createdMs),
			});
			await host.sleep(delayMs, AbortSignal.any([signal, this.#stageEnd.signal]));
		}
	}

	#endStage(stage: number): void {
		this.#deferral.end(stage);
		this.#stageEnd.abort();
		this.#stageEnd = new AbortController();
	}

	/** Bytes that a stage transfers, by zone: every piece takes all results of the preceding stages as input, and results of final stages go to the final call. */
	#transfers(stage: number): ZoneTransfer[] {
		const {after, resultBytes, pieces} = this.#stage(stage);
		const bytes = new Map<string, number>();
		const add = (zone: string | undefined, count: number) => {
			if (zone !== undefined) {
				bytes.set(zone, (bytes.get(zone) ?? 0) + count);
			}
		};

		for (const other of after) {
			for (const handle of this.#results.get(other) ?? []) {
				add(this.host.zoneOf(handle), this.#stage(other).resultBytes * pieces);
			}
		}

		if (!this.#isConsumed(stage)) {
			add(this.plan.zone, resultBytes * pieces);
		}

		return [...bytes].map(([zone, count]) => ({zone, bytes: count}));
	}

	/** Frees the results of stages whose consumers all have their own results. */
	#freeConsumed(): void {
		for (const stage of this.#results.keys()) {
			const consumers = this.#forecast.consumers(stage);
			if (consumers.length > 0 && consumers.every(consumer => this.#results.has(consumer) || this.#stage(consumer).pieces === 0)) {
				this.#free(stage);
			}
		}
	}

	#freeAll(): void {
		for (const stage of this.#results.keys()) {
			this.#free(stage);
		}
	}

	#free(stage: number): void {
		const handles = this.#results.get(stage) ?? [];
		this.#results.set(stage, []);
		this.host.free(handles);
	}

	#stage(stage: number): PlannedStage {
		return this.plan.stages[stage]!;
	}

	#isConsumed(stage: number): boolean {
		return this.#forecast.consumers(stage).length > 0;
	}
}
