import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {TargetHolds} from '../limits/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget, TargetRegistry} from '../registry/index.js';
import type {AllowedRegions, Placement} from '../placement/index.js';
import type {ServiceDeclaration} from '../routes/index.js';
import type {ServiceLoad} from './foreign-hosts.js';
import type {JobUrgency} from './job-order.js';
import type {PieceKind} from './piece-kind.js';
import type {KindPieces} from './piece-times.js';
import {countRepeats} from './sent-pieces.js';
import {
	ServiceRetryBudget, type RetryBudgetState, type RetryLimits, type RetryShares, type RetrySpend,
} from './service-retry-budget.js';
import {ResultReleaser} from './result-releaser.js';
import type {
	StageCallOutcome, StageFailure, StageJob, StageJobOutcome,
} from './stage-job.js';
import {PlanForecast} from './plan-forecast.js';
import {objectiveMarginMs, StagePlanRun, type PlanHost} from './stage-plan-run.js';
import type {StagePlan, StageRunner, StagePlanOutcome} from './stage-plan.js';
import {StagePool, type CalledPiece, type StageCall} from './stage-pool.js';
import type {StageTargetPort} from './stage-target-port.js';

/** Options of a {@link PoolHost}. */
export interface PoolHostOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly registry: TargetRegistry;
	readonly placement: Pick<Placement, 'allowsZone' | 'candidates' | 'isEvacuated' | 'isRestricted' | 'regionOf'>;
	readonly port: StageTargetPort;
	readonly retryLimits: RetryLimits;
	/** Fractions of the retry limits that this host may use; by default all of them, as for one without other entry VMs. */
	readonly retryShares?: RetryShares;
	/** This host's fraction of the work; 1 unless another host is likely to use the same targets. */
	readonly share: () => number;
	/** Whether the targets of a zone are this host's to use. */
	readonly isOwnZone: (zone: string) => boolean;
	/** Targets that have asked for no requests for a time; absent for none. */
	readonly holds?: Pick<TargetHolds, 'hasAny' | 'observe' | 'heldForMs' | 'isAddressHeld' | 'returnMs'>;
	/** Called with a target that says in a response that it is draining. */
	readonly onDraining?: (target: RelayTarget) => void;
	/** Called after each attempt to spend retries of pieces of a service. */
	readonly onRetrySpend?: (service: string, spend: RetrySpend) => void;
	/** Called with each call that was sent and got no whole response. */
	readonly onLostCall?: (call: LostStageCall) => void;
	/** Returns the current declaration of a service. */
	readonly service: (name: string) => ServiceDeclaration | undefined;
}

/** A call that was sent and got no whole response. */
export interface LostStageCall {
	readonly target: RelayTarget;
	readonly pieces: readonly CalledPiece[];
	readonly sentMs: Ms;
	readonly lostMs: Ms;
}

/** Delay after which a caller may ask again for a plan that no target may take: a new target or the end of an evacuation is read within about this time. */
const noTargetRetryAfterMs: Ms = 1000;
/** Urgency of a job behind all others that can meet their objectives. */
const anyJobOnTime: JobUrgency = {
	startByMs: Infinity, priority: 0, deadlineMs: Infinity, isCommitted: false,
};

type HostedPool = {readonly pool: StagePool; cancelWakeup: CancelTimer | undefined; isDispatchScheduled: boolean};

/**
 * Hosts the stage pools of this process: runs plans, sends the calls that each pool schedules, and frees results.
 *
 * @example
 * const outcome = await host.run(plan, signal);
 */
export class PoolHost implements StageRunner, PlanHost {
	static create(options: PoolHostOptions): PoolHost {
		return new PoolHost(options);
	}

	readonly #pools = new Map<string, HostedPool>();
	readonly #budgets = new Map<string, ServiceRetryBudget>();
	readonly #releaser: ResultReleaser;
	readonly #runs = new Set<StagePlanRun>();
	/** Jobs in the pools, and how those among them end that no target may take. */
	readonly #jobs = new Map<string, StageJob & {readonly service: string}>();
	readonly #unplacedJobs = new Map<string, {readonly failure: StageFailure; readonly retryAfterMs?: Ms}>();
	#retryLimits: RetryLimits;
	/** Calls in progress, which are withdrawn if their zone is evacuated, or their target held back, before they have a connection. */
	readonly #calls = new Set<{readonly zone: string; readonly target: RelayTarget | undefined; readonly withdrawal: AbortController}>();
	#planCount = 0;
	#takeoverMs: Ms = -Infinity;

	private constructor(private readonly options: PoolHostOptions) {
		const {clock, port, logger} = options;
		this.#retryLimits = options.retryLimits;
		this.#releaser = ResultReleaser.create({
			clock,
			port,
			logger,
			mayCall(producer) {
				const zone = options.registry.zoneAt(producer);
				return (zone === undefined || !options.placement.isEvacuated(zone)) && options.holds?.isAddressHeld(producer) !== true;
			},
			onHeldBack(producer, retryAfterMs) {
				const target = [...options.registry.all()].find(({entry}) => entry.address === producer);
				if (target) {
					options.holds?.observe(target, retryAfterMs);
				}
			},
			onFreed: handle => {
				for (const [service, {pool}] of this.#pools) {
					if (pool.removeResult(handle, clock.now())) {
						this.#scheduleDispatch(service);
						return;
					}
				}
			},
		});
	}

	/** Runs a plan. Never rejects: a plan that cannot be run fails. */
	async run(plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome> {
		try {
			return await this.#run(plan, signal);
		} catch (err) {
			this.options.logger.error('Cannot run a stage plan.', {id: plan.attemptId, error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined});
			return {failure: 'failed', retryAfterMs: 0};
		}
	}

	async #run(plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome> {
		if (this.options.placement.isRestricted(plan.regions) && !this.canPlace(plan)) {
			this.options.logger.info('No target of this host may take a stage plan.', {id: plan.attemptId, regions: plan.regions});
			return {failure: 'no_target', retryAfterMs: noTargetRetryAfterMs, sentPieces: plan.sentPieces ?? plan.stages.map(() => 0)};
		}

		const returnMs = this.#returnOf(plan);
		if (returnMs !== undefined) {
			this.options.logger.info('All targets of a stage are held back.', {id: plan.attemptId, stages: plan.stages.map(({service}) => service), retry_after_ms: Math.round(returnMs)});
			return {failure: 'overloaded', retryAfterMs: returnMs, sentPieces: plan.sentPieces ?? plan.stages.map(() => 0)};
		}

		this.#planCount++;
		this.#recordRequest(plan);
		const run = StagePlanRun.create(this, plan, `${plan.attemptId}/${this.#planCount}`);
		this.#runs.add(run);
		let outcome: StagePlanOutcome;
		try {
			outcome = await run.run(signal);
		} finally {
			this.#runs.delete(run);
		}

		if ('failure' in outcome && outcome.failure !== 'cancelled') {
			this.options.logger.info('Stage plan ended without results.', {
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

	/** Replaces the retry limits; what was spent under the earlier ones still counts. */
	setRetryLimits(limits: RetryLimits): void {
		this.#retryLimits = limits;
		for (const budget of this.#budgets.values()) {
			budget.setLimits(limits, this.now());
		}
	}

	/** Takes over the stage pools from another host, whose plans may still hold results at the targets. */
	takeOver(): void {
		this.#takeoverMs = this.now();
		this.options.logger.info('Took over the stage pools.', {pools: this.#pools.size});
		for (const {pool} of this.#pools.values()) {
			pool.expectForeignResults(this.#takeoverMs);
		}
	}

	/** Ends the plans of which nothing has started, so that the next host runs them. The other plans continue here. */
	handOver(): void {
		if (this.#runs.size === 0) {
			return;
		}

		const moved = [...this.#runs].filter(run => run.handOverIfUnstarted()).length;
		this.options.logger.info('Handed over unstarted stage plans to the next host.', {moved, kept: this.#runs.size - moved});
	}

	/** Ends all plans, so that the next host runs them: none can be completed here. */
	handOverAll(): void {
		if (this.#runs.size === 0) {
			return;
		}

		this.options.logger.warn('Handed over all stage plans to the next host.', {moved: this.#runs.size});
		for (const run of this.#runs) {
			run.handOver();
		}
	}

	/** Handles a change of the zones that are evacuated, or of the targets that are held back. */
	placementChanged(): void {
		const {placement, holds} = this.options;
		for (const {zone, target, withdrawal} of this.#calls) {
			if (placement.isEvacuated(zone) || (target && holds && holds.heldForMs(target) > 0)) {
				withdrawal.abort();
			}
		}

		for (const service of this.#pools.keys()) {
			this.#scheduleDispatch(service);
		}
	}

	/** Ends the jobs of a service with pieces that no target may take, because of regions or evacuations, or since all are held back. */
	#endUnplacedJobs(service: string, {pool}: HostedPool): void {
		const targets = this.#targetsOf(service);
		const zones = new Set(targets.map(({entry}) => entry.zone));
		const {placement, holds} = this.options;
		for (const {id, service: own, regions} of this.#jobs.values()) {
			if (own === service && placement.isRestricted(regions) && pool.isWaiting(id) && ![...zones].some(zone => placement.allowsZone(zone, regions))) {
				this.#unplacedJobs.set(id, {failure: 'no_target'});
				pool.cancel(id);
				continue;
			}

			const retryAfterMs = own === service && holds?.hasAny && pool.isWaiting(id) ? holds.returnMs(targets.filter(({entry}) => placement.allowsZone(entry.zone, regions))) : undefined;
			if (retryAfterMs !== undefined) {
				this.#unplacedJobs.set(id, {failure: 'overloaded', retryAfterMs});
				pool.cancel(id);
			}
		}
	}

	isUnstarted(service: string, id: string): boolean {
		return this.#pools.get(service)?.pool.isUnstarted(id) ?? true;
	}

	get logger(): PartLogger {
		return this.options.logger;
	}

	now(): Ms {
		return this.options.clock.now();
	}

	async sleep(delayMs: Ms, signal: AbortSignal): Promise<void> {
		await this.options.clock.sleep(delayMs, signal);
	}

	expectedCallMs(service: string, pieces: number, kind: PieceKind): Ms {
		const limits = this.options.service(service)?.stagePool;
		return this.#pools.get(service)?.pool.expectedCallMs(pieces, kind) ?? (limits ? limits.callMs + (limits.pieceMs * Math.min(pieces, limits.batch)) : 0);
	}

	expectedWaitMs(service: string, job: JobUrgency): Ms {
		return this.#pools.get(service)?.pool.expectedWaitMs(this.now(), job) ?? 0;
	}

	announce(service: string, id: string, job: JobUrgency, work: KindPieces): void {
		this.#pools.get(service)?.pool.announce(id, {job, ...work});
	}

	withdraw(service: string, id: string): void {
		this.#pools.get(service)?.pool.withdraw(id);
	}

	reserveRetries(plan: StagePlan): boolean {
		const repeats = countRepeats(plan);
		if (repeats.size === 0) {
			return true;
		}

		const now = this.now();
		const lacking = [...repeats].find(([service, pieces]) => !this.#budget(service).canSpend(now, pieces))?.[0];
		// The one that lacks some denies and reports it.
		for (const [service, pieces] of repeats) {
			if (lacking === undefined || lacking === service) {
				this.#budget(service).reserve(now, pieces);
			}
		}

		this.options.logger.info(lacking === undefined ? 'Sending pieces of a request again.' : 'Cannot send pieces of a request again: the retry budget does not suffice.', {
			id: plan.attemptId, repeats: Object.fromEntries(repeats), ...(lacking === undefined ? {} : {lacking}),
		});
		return lacking === undefined;
	}

	releaseRetries(service: string, pieces: number): void {
		this.#budget(service).release(pieces);
	}

	async runJob(service: string, job: StageJob, signal: AbortSignal): Promise<StageJobOutcome> {
		const declared = this.options.service(service);
		if (!declared?.stagePool || signal.aborted) {
			this.releaseRetries(service, job.sentPieces ?? 0);
			return {failure: signal.aborted ? 'cancelled' : 'no_target', retryAfterMs: 0};
		}

		const {pool} = this.#hostPool(declared);
		return new Promise(resolve => {
			const cancel = () => {
				pool.cancel(job.id);
			};

			signal.addEventListener('abort', cancel, {once: true});
			this.#updateTargets(service, pool);
			this.#jobs.set(job.id, {...job, service});
			pool.submit(job, outcome => {
				signal.removeEventListener('abort', cancel);
				this.#jobs.delete(job.id);
				const unplaced = this.#unplacedJobs.get(job.id);
				this.#unplacedJobs.delete(job.id);
				resolve(unplaced && 'failure' in outcome ? {...outcome, ...unplaced} : outcome);
			}, this.options.clock.now());
			this.#scheduleDispatch(service);
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

	/** Whether this host may call a target for each stage of a plan. */
	canPlace({stages, regions}: StagePlan): boolean {
		return stages.every(({service, pieces}) => pieces === 0 || this.#hasTarget(service, regions));
	}

	/** Returns the time after which a plan may return if all targets of one of its stages are held back; else `undefined`. */
	#returnOf({stages, regions}: StagePlan): Ms | undefined {
		const {holds, placement} = this.options;
		if (!holds?.hasAny) {
			return undefined;
		}

		const times = stages.flatMap(({service, pieces}) => pieces === 0 ? [] : holds.returnMs(this.#targetsOf(service).filter(({entry}) => placement.allowsZone(entry.zone, regions))) ?? []);
		return times.length === 0 ? undefined : Math.max(...times);
	}

	#hasTarget(service: string, regions: AllowedRegions): boolean {
		return this.#targetsOf(service).some(({entry}) => this.options.placement.allowsZone(entry.zone, regions));
	}

	/** Whether a plan is expected to meet its objective at the pools of this host. */
	canMeetObjective(plan: StagePlan): boolean {
		return this.now() + PlanForecast.create(plan, this).predictMs(plan.callByMs) + objectiveMarginMs <= plan.callByMs;
	}

	/** Returns the load of each pool that has targets, as other hosts need it to send plans here. */
	serviceLoads(): ServiceLoad[] {
		const now = this.now();
		return [...this.#pools].flatMap(([service, {pool}]) => pool.hasTargets
			? {service, waitMs: Math.round(pool.expectedWaitMs(now, anyJobOnTime)), msPerPiece: pool.msPerPiece}
			: []);
	}

	/** Returns the number of waiting pieces and of calls in progress of each service. */
	load(): Array<{service: string; backlog: number; calls: number}> {
		return [...this.#pools].map(([service, {pool}]) => ({service, backlog: pool.backlog, calls: pool.calls}));
	}

	/** Returns the state of the retry budget of each service. */
	retryBudgets(): Array<{service: string; state: RetryBudgetState}> {
		return [...this.#budgets].map(([service, budget]) => ({service, state: budget.state(this.now())}));
	}

	/** Records a request once for each service that has pieces of it. A plan that was run before was recorded then. */
	#recordRequest({stages, sentPieces}: StagePlan): void {
		if (sentPieces === undefined) {
			for (const service of new Set(stages.filter(({pieces}) => pieces > 0).map(stage => stage.service))) {
				this.#budget(service).recordRequest(this.now());
			}
		}
	}

	#hostPool(declared: ServiceDeclaration): HostedPool {
		let hostedPool = this.#pools.get(declared.name);
		if (hostedPool) {
			hostedPool.pool.setLimits(declared.stagePool!);
			return hostedPool;
		}

		hostedPool = {
			pool: StagePool.create({
				limits: declared.stagePool!,
				budget: this.#budget(declared.name),
				onUnused: handle => {
					this.#releaser.free([handle]);
				},
			}),
			cancelWakeup: undefined,
			isDispatchScheduled: false,
		};
		this.#pools.set(declared.name, hostedPool);
		this.#updateTargets(declared.name, hostedPool.pool);
		if (this.now() - this.#takeoverMs < declared.stagePool!.resultTtlMs) {
			hostedPool.pool.expectForeignResults(this.now());
		}

		return hostedPool;
	}

	#budget(service: string): ServiceRetryBudget {
		const budget = this.#budgets.get(service) ?? this.#createBudget(service);
		this.#budgets.set(service, budget);
		return budget;
	}

	#createBudget(service: string): ServiceRetryBudget {
		const {retryShares} = this.options;
		return ServiceRetryBudget.create({
			limits: this.#retryLimits,
			share: retryShares?.slack ?? (() => 1),
			...(retryShares ? {ratioShare: retryShares.ratio} : {}),
			onSpend: spend => {
				this.options.onRetrySpend?.(service, spend);
			},
		});
	}

	/** Returns the targets of a service that this host may call. */
	#targetsOf(service: string): readonly RelayTarget[] {
		const accepting = this.options.placement.candidates(service);
		const own = accepting.filter(({entry}) => this.options.isOwnZone(entry.zone));
		// Without a target of its own, a host shares those of the others, which refuse calls that they have no place for.
		return own.length > 0 ? own : accepting;
	}

	#updateTargets(service: string, pool: StagePool): void {
		const {clock, holds, placement} = this.options;
		const targets = this.#targetsOf(service);
		pool.setTargets(targets.map(({entry}) => ({
			id: entry.id, address: entry.address, zone: entry.zone, region: placement.regionOf(entry.zone),
		})));
		for (const target of targets) {
			const heldMs = holds?.heldForMs(target) ?? 0;
			if (heldMs > 0) {
				pool.holdBack(target.id, clock.now() + heldMs);
			}
		}
	}

	/** Defers dispatch, so that jobs submitted in the same turn of the event loop share calls. */
	#scheduleDispatch(service: string): void {
		const hostedPool = this.#pools.get(service)!;
		if (!hostedPool.isDispatchScheduled) {
			hostedPool.isDispatchScheduled = true;
			setImmediate(() => {
				hostedPool.isDispatchScheduled = false;
				this.#dispatch(service);
			});
		}
	}

	/** Sends the calls that are due and schedules the next wake-up of the pool. */
	#dispatch(service: string): void {
		const hostedPool = this.#pools.get(service)!;
		const {clock} = this.options;
		this.#updateTargets(service, hostedPool.pool);
		this.#endUnplacedJobs(service, hostedPool);
		hostedPool.cancelWakeup?.();
		hostedPool.cancelWakeup = undefined;
		try {
			for (const call of hostedPool.pool.nextCalls(clock.now(), this.options.share())) {
				void this.#sendCall(service, hostedPool.pool, call);
			}
		} catch (err) {
			this.options.logger.error('Cannot send the calls of a stage pool; retrying.', {service, error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined});
		}

		const wakeMs = hostedPool.pool.wakeAt(clock.now());
		if (wakeMs !== undefined) {
			hostedPool.cancelWakeup = clock.after(wakeMs - clock.now(), () => {
				this.#dispatch(service);
			});
		}
	}

	async #sendCall(service: string, pool: StagePool, call: StageCall): Promise<void> {
		const {clock, port, logger} = this.options;
		const startedMs = clock.now();
		// The target may have run the call.
		let end: StageCallOutcome = {kind: 'failed'};
		const target = this.options.registry.get(call.target.id);
		const sent = {zone: call.target.zone, target, withdrawal: new AbortController()};
		this.#calls.add(sent);
		try {
			end = await port.run({...call, now: startedMs, withdrawal: sent.withdrawal.signal});
			this.#logCall(service, pool, {call, end, startedMs});
			if (target && end.kind !== 'unreachable' && end.isDraining) {
				this.options.onDraining?.(target);
			}

			if (target && end.kind !== 'unreachable') {
				this.options.holds?.observe(target, end.retryAfterMs);
			}

			if (target && end.kind === 'unreachable' && end.lost) {
				this.options.onLostCall?.({
					target, pieces: call.pieces, sentMs: startedMs, lostMs: clock.now(),
				});
			}
		} catch (err) {
			logger.error('Cannot handle a stage call.', {
				service, target: call.target.id, error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined,
			});
		} finally {
			this.#calls.delete(sent);
		}

		try {
			// Without it, the place at the target would be taken for good, and the pieces would wait until their deadline.
			pool.endCall(call.id, end, clock.now());
		} finally {
			this.#dispatch(service);
		}
	}

	#logCall(service: string, pool: StagePool, {call, end, startedMs}: {call: StageCall; end: StageCallOutcome; startedMs: Ms}): void {
		const {clock, logger} = this.options;
		const problems = end.kind === 'done' ? end.results.flatMap(result => 'problem' in result ? [result.problem] : []) : [];
		logger.info('A stage call ended.', {
			service,
			target: call.target.id,
			zone: call.target.zone,
			end: end.kind,
			...(problems.length === 0 ? {} : {problems: problems.length, first_problem: problems[0]}),
			pieces: call.pieces.length,
			repeats: call.repeats,
			ids: [...new Set(call.pieces.map(({job}) => job.attemptId))],
			backlog: pool.backlog,
			took_ms: Math.round(clock.now() - startedMs),
			expected_ms: Math.round(call.expectedMs),
		});
	}
}
