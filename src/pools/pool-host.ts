import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logs/index.js';
import type {TargetRegistry} from '../registry/index.js';
import type {ServiceDeclaration} from '../routes/index.js';
import type {RankedJob} from './job-order.js';
import {ServiceRetryBudget, type RetryLimits} from './service-retry-budget.js';
import {ResultReleaser} from './result-releaser.js';
import type {StageJob, StageJobOutcome} from './stage-job.js';
import {StagePlanRun, type PlanHost} from './stage-plan-run.js';
import type {StagePlan, StageRunner, StagePlanOutcome} from './stage-plan.js';
import {StagePool, type StageCall} from './stage-pool.js';
import type {StageTargetPort} from './stage-target-port.js';

/** The host of a pool sends nearly all its calls; the rest is kept for a second host during a change of hosts. */
const poolRepeatShare = 0.6;

/** Parts of a host. */
export interface PoolHostOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly registry: TargetRegistry;
	readonly port: StageTargetPort;
	readonly retryLimits: RetryLimits;
	/** This host's part of the work, 1 where no other host is likely to use the same targets. */
	readonly share: () => number;
	/** The declared service, as of now. */
	readonly service: (name: string) => ServiceDeclaration | undefined;
}

type Hosted = {pool: StagePool; cancelWake: CancelTimer | undefined; isPumping: boolean};

/**
 * Hosts the stage pools in this process: runs plans, sends the calls that each pool decides on, and frees results.
 *
 * @example
 * const outcome = await host.run(plan, signal);
 */
export class PoolHost implements StageRunner, PlanHost {
	static create(options: PoolHostOptions): PoolHost {
		return new PoolHost(options);
	}

	readonly #hosted = new Map<string, Hosted>();
	readonly #releaser: ResultReleaser;
	readonly #runs = new Set<StagePlanRun>();
	#repeats: RetryLimits;
	#plans = 0;
	#tookOverMs: Ms = -Infinity;

	private constructor(private readonly options: PoolHostOptions) {
		const {clock, port, logger} = options;
		this.#repeats = options.retryLimits;
		this.#releaser = ResultReleaser.create({
			clock,
			port,
			logger,
			onFreed: handle => {
				for (const [service, {pool}] of this.#hosted) {
					pool.freed(handle, clock.now());
					this.#pump(service);
				}
			},
		});
	}

	async run(plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome> {
		this.#plans++;
		const run = StagePlanRun.create(this, plan, `${plan.attemptId}/${this.#plans}`);
		this.#runs.add(run);
		const outcome = await run.run(signal);
		this.#runs.delete(run);
		if ('failure' in outcome && outcome.failure !== 'cancelled') {
			this.options.logger.info('Ended a plan without results.', {
				id: plan.attemptId,
				failure: outcome.failure,
				retry_after_ms: Math.round(outcome.retryAfterMs),
				call_in_ms: Math.round(plan.callByMs - this.now()),
				deadline_in_ms: Math.round(plan.deadlineMs - this.now()),
				predicted_ms: Math.round(run.predictedMs),
				backlog: Object.fromEntries(this.load().map(({service, backlog}) => [service, backlog])),
			});
		}

		return outcome;
	}

	/** Takes changed limits of repeats; every pool counts anew, so that no repeat is counted under two limits. */
	setRetryLimits(repeats: RetryLimits): void {
		this.#repeats = repeats;
		for (const {pool} of this.#hosted.values()) {
			pool.setBudget(this.#createBudget());
		}
	}

	/** Takes the stage pools over from another host, whose plans may still hold results. */
	takeOver(): void {
		this.#tookOverMs = this.now();
		this.options.logger.info('Takes the stage pools over.', {pools: this.#hosted.size});
		for (const {pool} of this.#hosted.values()) {
			pool.expectForeignResults(this.#tookOverMs);
		}
	}

	/** Ends plans of which nothing has been started, so that the next host takes them; the others go on here. */
	leave(): void {
		const moved = [...this.#runs].filter(run => run.moveIfUntouched()).length;
		this.options.logger.info('Leaves its stage pools to the next host.', {moved, kept: this.#runs.size - moved});
	}

	isUntouched(service: string, id: string): boolean {
		return this.#hosted.get(service)?.pool.isUntouched(id) ?? true;
	}

	now(): Ms {
		return this.options.clock.now();
	}

	expectedCallMs(service: string, pieces: number): Ms {
		const limits = this.options.service(service)?.stagePool;
		return this.#hosted.get(service)?.pool.expectedCallMs(pieces) ?? (limits ? limits.callMs + (limits.itemMs * Math.min(pieces, limits.batch)) : 0);
	}

	expectedWaitMs(service: string, job: RankedJob): Ms {
		return this.#hosted.get(service)?.pool.expectedWaitMs(this.now(), job) ?? 0;
	}

	announce(service: string, id: string, job: RankedJob, pieces: number): void {
		this.#hosted.get(service)?.pool.announce(id, job, pieces);
	}

	withdraw(service: string, id: string): void {
		this.#hosted.get(service)?.pool.withdraw(id);
	}

	async runJob(service: string, job: StageJob, signal: AbortSignal): Promise<StageJobOutcome> {
		const declared = this.options.service(service);
		if (!declared?.stagePool || signal.aborted) {
			return {failure: signal.aborted ? 'cancelled' : 'no_target', retryAfterMs: 0};
		}

		const {pool} = this.#host(declared);
		return new Promise(resolve => {
			const cancel = () => {
				pool.cancel(job.id);
			};

			signal.addEventListener('abort', cancel, {once: true});
			this.#updateTargets(service, pool);
			pool.submit(job, outcome => {
				signal.removeEventListener('abort', cancel);
				resolve(outcome);
			}, this.options.clock.now());
			this.#schedulePump(service);
		});
	}

	zoneOf(handle: string): string | undefined {
		return this.options.registry.zoneAt(this.options.port.producerOf(handle));
	}

	free(handles: readonly string[]): void {
		if (handles.length > 0) {
			this.#releaser.free(handles);
		}
	}

	/** Pieces that wait and calls in progress, by service. */
	load(): Array<{service: string; backlog: number; calls: number}> {
		return [...this.#hosted].map(([service, {pool}]) => ({service, backlog: pool.backlog, calls: pool.calls}));
	}

	#host(declared: ServiceDeclaration): Hosted {
		let hosted = this.#hosted.get(declared.name);
		if (hosted) {
			hosted.pool.setLimits(declared.stagePool!);
			return hosted;
		}

		hosted = {
			pool: StagePool.create({
				limits: declared.stagePool!,
				budget: this.#createBudget(),
				onUnused: handle => {
					this.#releaser.free([handle]);
				},
			}),
			cancelWake: undefined,
			isPumping: false,
		};
		this.#hosted.set(declared.name, hosted);
		this.#updateTargets(declared.name, hosted.pool);
		if (this.now() - this.#tookOverMs < declared.stagePool!.resultTtlMs) {
			hosted.pool.expectForeignResults(this.now());
		}

		return hosted;
	}

	#createBudget(): ServiceRetryBudget {
		return ServiceRetryBudget.create({limits: this.#repeats, share: () => poolRepeatShare});
	}

	#updateTargets(service: string, pool: StagePool): void {
		pool.setTargets(this.options.registry.open(service).map(({entry}) => ({id: entry.id, address: entry.address, zone: entry.zone})));
	}

	/** Jobs that arrive in the same turn of the event loop go into the same calls. */
	#schedulePump(service: string): void {
		const hosted = this.#hosted.get(service)!;
		if (!hosted.isPumping) {
			hosted.isPumping = true;
			setImmediate(() => {
				hosted.isPumping = false;
				this.#pump(service);
			});
		}
	}

	#pump(service: string): void {
		const hosted = this.#hosted.get(service)!;
		const {clock} = this.options;
		this.#updateTargets(service, hosted.pool);
		for (const call of hosted.pool.next(clock.now(), this.options.share())) {
			void this.#send(service, hosted.pool, call);
		}

		hosted.cancelWake?.();
		hosted.cancelWake = undefined;
		const wakeMs = hosted.pool.wakeAt(clock.now());
		if (wakeMs !== undefined) {
			hosted.cancelWake = clock.after(wakeMs - clock.now(), () => {
				this.#pump(service);
			});
		}
	}

	async #send(service: string, pool: StagePool, call: StageCall): Promise<void> {
		const {clock, port, logger} = this.options;
		const startedMs = clock.now();
		const end = await port.run({...call, now: startedMs});
		const problems = end.kind === 'done' ? end.results.flatMap(result => 'problem' in result ? [result.problem] : []) : [];
		logger.info('A stage call ended.', {
			service,
			target: call.target.id,
			zone: call.target.zone,
			end: end.kind,
			...(problems.length === 0 ? {} : {problems: problems.length, first_problem: problems[0]}),
			pieces: call.pieces.length,
			ids: [...new Set(call.pieces.map(({job}) => job.attemptId))],
			backlog: pool.backlog,
			took_ms: Math.round(clock.now() - startedMs),
			expected_ms: Math.round(call.expectedMs),
		});
		pool.ended(call.id, end, clock.now());
		this.#pump(service);
	}
}
