import type {Clock, Ms} from '../clock/index.js';
import type {ConfigView, Pipeline, Stage} from '../config/index.js';
import type {EventRecorder} from '../events/index.js';
import type {Random} from '../random/index.js';
import {
	CostRouter, estimateServiceTime, PrefixIndex, PrefixHasher, type Prefix, type Router,
} from '../routing/index.js';
import type {TargetRegistry} from '../targets/index.js';
import {AcquireError} from './acquire-error.js';
import {Admission, type StageForecast} from './admission.js';
import type {PoolQueueDependencies} from './pool-queue-dependencies.js';
import {PoolQueue} from './pool-queue.js';
import {PoolTargets} from './pool-targets.js';
import {Reservations, type ReservedWork} from './reservations.js';
import {RetryBudget} from './retry-budget.js';
import type {
	AdmissionDecision, AdmissionRequest, Grant, Scheduler, StageWork,
} from './scheduler.js';
import {ServiceTimes} from './service-times.js';
import {TeamShares} from './team-shares.js';
import {ZoneLoad} from './zone-load.js';
import type {ZoneDigest, ZoneView} from './zone-view.js';

/** Options of a `FairScheduler`. */
export interface FairSchedulerOptions {
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly targets: TargetRegistry;
	readonly zone: string;
	readonly zoneView: ZoneView;
	readonly random: Random;
	/** Chooses targets. Defaults to a `CostRouter`. */
	readonly router?: Router;
	/** Index of the prompt prefixes cached by engines. A custom router that uses an index must share this one. */
	readonly prefixIndex?: PrefixIndex;
	readonly events?: EventRecorder;
}

/** Estimate of one stage from declared speeds. */
type StageEstimate = {stage: Stage; serviceMs: Ms; prefixes: readonly Prefix[]};

/**
 * Admits requests, queues their attempts per pool with fair queueing between teams, and routes them to targets.
 *
 * @example
 * const scheduler = FairScheduler.create({clock, config, targets, zone: 'riga-a', zoneView, random: Random.create(7)});
 */
export class FairScheduler implements Scheduler {
	static create(options: FairSchedulerOptions): FairScheduler {
		const scheduler = new FairScheduler(options);
		options.config.onChange(() => {
			scheduler.#applyConfig();
		});
		return scheduler;
	}

	/** Index of the prompt prefixes cached by engines; corrected by polled cache events. */
	readonly prefixIndex: PrefixIndex;
	readonly #prefixHasher = PrefixHasher.create();
	readonly #admission = Admission.create();
	readonly #serviceTimes: ServiceTimes;
	readonly #retryBudget: RetryBudget;
	readonly #zoneLoad: ZoneLoad;
	readonly #reservations: Reservations;
	readonly #queueDependencies: PoolQueueDependencies;
	readonly #poolQueues = new Map<string, PoolQueue>();
	#appliedZoneVersion = 0;

	private constructor(private readonly options: FairSchedulerOptions) {
		const {clock, config, targets, zone, zoneView, random} = options;
		this.prefixIndex = options.prefixIndex ?? PrefixIndex.create();
		this.#serviceTimes = ServiceTimes.create(clock);
		this.#retryBudget = RetryBudget.create({clock, ratio: () => config.current().declarations.policy().retry_ratio, floor: pool => this.#retryFloor(pool)});
		this.#zoneLoad = ZoneLoad.create({clock, zoneView});
		this.#reservations = Reservations.create(clock, ({pool, team, serviceMs}) => {
			this.#poolQueue(pool).shares.addQueued(team, -serviceMs);
		});
		this.#queueDependencies = {
			clock,
			registry: targets,
			zone,
			targets: PoolTargets.create({registry: targets, zone, zoneLoad: this.#zoneLoad}),
			router: options.router ?? CostRouter.create({
				config, zone, random, index: this.prefixIndex,
			}),
			prefixIndex: this.prefixIndex,
			serviceTimes: this.#serviceTimes,
			retryBudget: this.#retryBudget,
			activePeers: pool => this.#zoneLoad.activePeers(pool),
			refreshZoneLoad: () => {
				this.#refreshZoneLoad();
			},
			...(options.events ? {events: options.events} : {}),
		};
	}

	admit(request: AdmissionRequest): AdmissionDecision {
		this.#refreshZoneLoad();
		const prefixes = this.#prefixHasher.prefixesOf(request.prompt);
		const stageEstimates = request.pipeline.stages.map(stage => this.#estimateStage(stage, prefixes, request.maxTokens));
		const decision = this.#admission.decide(request.remainingMs, stageEstimates.map(stageEstimate => stageEstimate && this.#forecast(request.team, stageEstimate)));
		if (decision.admitted) {
			this.#reserve(request, stageEstimates as StageEstimate[]);
		}

		return decision;
	}

	async acquire(work: StageWork, signal: AbortSignal): Promise<Grant> {
		this.#reservations.stageReached(work.requestId, work.stage.name);
		const {pool} = work.stage;
		const prefixes = this.#prefixHasher.prefixesOf(work.prompt);
		const stageEstimate = this.#estimateStage(work.stage, prefixes, work.maxTokens);
		if (!stageEstimate) {
			this.#reservations.release(work.requestId);
			throw AcquireError.create('no_target', pool);
		}

		try {
			return await this.#poolQueue(pool).acquire({
				work,
				weight: this.#weight(work.team),
				prefixes,
				serviceMs: stageEstimate.serviceMs * this.#serviceTimes.ratios(pool).mean,
				laterStagesMs: this.#laterStagesMs(work.pipeline, work.stage),
			}, signal);
		} catch (err) {
			this.#reservations.release(work.requestId);
			throw err;
		}
	}

	spendRetry(team: string, pool: string): boolean {
		return this.#retryBudget.spend(team, pool);
	}

	/** Returns this scheduler's fields of a digest and records them as published; call it once per digest sent. */
	localDigest(): Pick<ZoneDigest, 'work' | 'inFlight'> {
		const pools = [...this.#poolQueues.values()];
		return {
			work: pools.flatMap(pool => pool.shares.publish()),
			inFlight: pools.flatMap(pool => [...pool.callsByTarget()].map(([target, calls]) => ({target, calls}))),
		};
	}

	#forecast(team: string, {stage, serviceMs}: StageEstimate): StageForecast | undefined {
		const pool = this.#poolQueue(stage.pool);
		const load = pool.load(serviceMs);
		return load && {waitMs: this.#admission.waitMs(team, pool.shares, load), serviceMs, ratios: this.#serviceTimes.ratios(stage.pool)};
	}

	/** Reserves the work of all stages but the first, which is acquired immediately. */
	#reserve(request: AdmissionRequest, stageEstimates: readonly StageEstimate[]): void {
		const items = stageEstimates.slice(1).map(({stage, serviceMs}): ReservedWork => ({
			team: request.team, stage: stage.name, pool: stage.pool, serviceMs: serviceMs * this.#serviceTimes.ratios(stage.pool).mean,
		}));
		this.#reservations.add(request.requestId, this.options.clock.now() + request.remainingMs, items);
		for (const {pool, team, serviceMs} of items) {
			this.#poolQueue(pool).shares.addQueued(team, serviceMs);
		}
	}

	/** Estimates a stage from declared speeds; `undefined` when its pool is not declared or has no target. */
	#estimateStage(stage: Stage, prefixes: readonly Prefix[], maxTokens: number): StageEstimate | undefined {
		const [target] = this.options.targets.pool(stage.pool);
		if (!target) {
			return undefined;
		}

		const uncachedTokens = target.pool.type === 'engine' ? this.prefixIndex.minUncachedTokens(stage.pool, prefixes) : 0;
		const {serviceMs} = estimateServiceTime(target.pool, stage, {uncachedTokens, maxTokens, batch: target.declaration.slots});
		return {stage, serviceMs, prefixes};
	}

	/** Minimum time of the stages after this one. Only service pools count, since token counts of later stages are unknown. */
	#laterStagesMs(pipeline: Pipeline, stage: Stage): Ms {
		let laterMs = 0;
		for (const later of pipeline.stages.slice(pipeline.stages.findIndex(({name}) => name === stage.name) + 1)) {
			const [target] = this.options.targets.pool(later.pool);
			laterMs += (target?.pool.type === 'service' ? target.pool.service_ms : 0) * this.#serviceTimes.ratios(later.pool).low;
		}

		return laterMs;
	}

	#poolQueue(name: string): PoolQueue {
		let pool = this.#poolQueues.get(name);
		if (!pool) {
			pool = PoolQueue.create(name, TeamShares.create(name, team => this.#weight(team)), this.#queueDependencies);
			pool.shares.setPeerWork(this.#zoneLoad.work(name), this.#zoneLoad.peers);
			this.#poolQueues.set(name, pool);
		}

		return pool;
	}

	#weight(team: string): number {
		return this.options.config.current().declarations.team(team)?.weight ?? 1;
	}

	#refreshZoneLoad(): void {
		this.#zoneLoad.refresh();
		if (this.#zoneLoad.version !== this.#appliedZoneVersion) {
			this.#appliedZoneVersion = this.#zoneLoad.version;
			for (const [name, pool] of this.#poolQueues) {
				pool.shares.setPeerWork(this.#zoneLoad.work(name), this.#zoneLoad.peers);
			}
		}
	}

	/** Twice the slots of the largest target: a target can be lost while another is still suspect. */
	#retryFloor(pool: string): number {
		return 2 * Math.max(0, ...this.options.targets.pool(pool).map(target => target.declaration.slots));
	}

	#applyConfig(): void {
		for (const pool of this.#poolQueues.values()) {
			pool.shares.updateWeights();
		}

		this.prefixIndex.retain(name => this.options.targets.get(name) !== undefined);
	}
}
