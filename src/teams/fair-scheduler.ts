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
import type {PoolQueueParts} from './pool-queue-parts.js';
import {PoolQueue} from './pool-queue.js';
import {PoolTargets} from './pool-targets.js';
import {Reservations, type ReservedWork} from './reservations.js';
import {RetryBudget} from './retry-budget.js';
import type {
	AdmissionDecision, Grant, RequestEstimate, Scheduler, StageWork,
} from './scheduler.js';
import {ServiceTimes} from './service-times.js';
import {TeamShares} from './team-shares.js';
import {ZoneLoad} from './zone-load.js';
import type {ZoneDigest, ZoneView} from './zone-view.js';

/** Inputs of a fair scheduler. */
export interface FairSchedulerOptions {
	readonly clock: Clock;
	readonly config: ConfigView;
	readonly targets: TargetRegistry;
	readonly zone: string;
	readonly zoneView: ZoneView;
	readonly random: Random;
	/** Chooses targets; by cost when absent. */
	readonly router?: Router;
	/** Prefixes that engines hold; give the same one to a router that uses it. */
	readonly index?: PrefixIndex;
	readonly events?: EventRecorder;
}

/** What one stage is expected to need. */
type StageNeed = {stage: Stage; serviceMs: Ms; prefixes: readonly Prefix[]};

/**
 * Admits requests, queues their attempts fairly by team before each pool, and routes them to targets.
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

	/** Prefixes that engines hold; the poller of cache events corrects it. */
	readonly index: PrefixIndex;
	readonly #names = PrefixHasher.create();
	readonly #admission = Admission.create();
	readonly #times: ServiceTimes;
	readonly #retries: RetryBudget;
	readonly #zoneLoad: ZoneLoad;
	readonly #reservations: Reservations;
	readonly #parts: PoolQueueParts;
	readonly #pools = new Map<string, PoolQueue>();
	#zoneVersion = 0;

	private constructor(private readonly options: FairSchedulerOptions) {
		const {clock, config, targets, zone, zoneView, random} = options;
		this.index = options.index ?? PrefixIndex.create();
		this.#times = ServiceTimes.create(clock);
		this.#retries = RetryBudget.create({clock, ratio: () => config.current().declarations.policy().retry_ratio, floor: pool => this.#retryFloor(pool)});
		this.#zoneLoad = ZoneLoad.create({clock, zoneView});
		this.#reservations = Reservations.create(clock, ({pool, team, serviceMs}) => {
			this.#pool(pool).shares.queued(team, -serviceMs);
		});
		this.#parts = {
			clock,
			registry: targets,
			zone,
			targets: PoolTargets.create({registry: targets, zone, zoneLoad: this.#zoneLoad}),
			router: options.router ?? CostRouter.create({
				config, zone, random, index: this.index,
			}),
			index: this.index,
			times: this.#times,
			retries: this.#retries,
			contenders: pool => this.#zoneLoad.contenders(pool),
			refresh: () => {
				this.#refresh();
			},
			...(options.events ? {events: options.events} : {}),
		};
	}

	admit(estimate: RequestEstimate): AdmissionDecision {
		this.#refresh();
		const prefixes = this.#names.prefixesOf(estimate.prompt);
		const needs = estimate.pipeline.stages.map(stage => this.#need(stage, prefixes, estimate.maxTokens));
		const decision = this.#admission.decide(estimate.remainingMs, needs.map(need => need && this.#forecast(estimate.team, need)));
		if (decision.admitted) {
			this.#reserve(estimate, needs as StageNeed[]);
		}

		return decision;
	}

	async acquire(work: StageWork, signal: AbortSignal): Promise<Grant> {
		this.#reservations.reached(work.requestId, work.stage.name);
		const {pool} = work.stage;
		const prefixes = this.#names.prefixesOf(work.prompt);
		const need = this.#need(work.stage, prefixes, work.maxTokens);
		if (!need) {
			this.#reservations.release(work.requestId);
			throw AcquireError.create('no_target', pool);
		}

		try {
			return await this.#pool(pool).acquire({
				work,
				weight: this.#weight(work.team),
				prefixes,
				serviceMs: need.serviceMs * this.#times.of(pool).mean,
				laterMs: this.#laterMs(work.pipeline, work.stage),
			}, signal);
		} catch (err) {
			this.#reservations.release(work.requestId);
			throw err;
		}
	}

	spendRetry(team: string, pool: string): boolean {
		return this.#retries.spend(team, pool);
	}

	/** Parts of a digest that this scheduler knows; call it once for each digest that is sent. */
	localDigest(): Pick<ZoneDigest, 'work' | 'inFlight'> {
		const pools = [...this.#pools.values()];
		return {
			work: pools.flatMap(pool => pool.shares.publish()),
			inFlight: pools.flatMap(pool => [...pool.callsByTarget()].map(([target, calls]) => ({target, calls}))),
		};
	}

	#forecast(team: string, {stage, serviceMs}: StageNeed): StageForecast | undefined {
		const pool = this.#pool(stage.pool);
		const load = pool.load(serviceMs);
		return load && {waitMs: this.#admission.waitMs(team, pool.shares, load), serviceMs, times: this.#times.of(stage.pool)};
	}

	/** Reserves the stages after the first, which is acquired at once. */
	#reserve(estimate: RequestEstimate, needs: readonly StageNeed[]): void {
		const works = needs.slice(1).map(({stage, serviceMs}): ReservedWork => ({
			team: estimate.team, stage: stage.name, pool: stage.pool, serviceMs: serviceMs * this.#times.of(stage.pool).mean,
		}));
		this.#reservations.add(estimate.requestId, this.options.clock.now() + estimate.remainingMs, works);
		for (const {pool, team, serviceMs} of works) {
			this.#pool(pool).shares.queued(team, serviceMs);
		}
	}

	/** Estimate of a stage by declared speeds; `undefined` when its pool is not declared or has no target. */
	#need(stage: Stage, prefixes: readonly Prefix[], maxTokens: number): StageNeed | undefined {
		const [target] = this.options.targets.pool(stage.pool);
		if (!target) {
			return undefined;
		}

		const uncachedTokens = target.pool.type === 'engine' ? this.index.minUncachedTokens(stage.pool, prefixes) : 0;
		const {serviceMs} = estimateServiceTime(target.pool, stage, {uncachedTokens, maxTokens, batch: target.declaration.slots});
		return {stage, serviceMs, prefixes};
	}

	/** Least time of the stages after this one; token counts are unknown there, so only services count. */
	#laterMs(pipeline: Pipeline, stage: Stage): Ms {
		let laterMs = 0;
		for (const later of pipeline.stages.slice(pipeline.stages.findIndex(({name}) => name === stage.name) + 1)) {
			const [target] = this.options.targets.pool(later.pool);
			laterMs += (target?.pool.type === 'service' ? target.pool.service_ms : 0) * this.#times.of(later.pool).low;
		}

		return laterMs;
	}

	#pool(name: string): PoolQueue {
		let pool = this.#pools.get(name);
		if (!pool) {
			pool = PoolQueue.create(name, TeamShares.create(name, team => this.#weight(team)), this.#parts);
			pool.shares.setOthers(this.#zoneLoad.work(name), this.#zoneLoad.peers);
			this.#pools.set(name, pool);
		}

		return pool;
	}

	#weight(team: string): number {
		return this.options.config.current().declarations.team(team)?.weight ?? 1;
	}

	#refresh(): void {
		this.#zoneLoad.refresh();
		if (this.#zoneLoad.version !== this.#zoneVersion) {
			this.#zoneVersion = this.#zoneLoad.version;
			for (const [name, pool] of this.#pools) {
				pool.shares.setOthers(this.#zoneLoad.work(name), this.#zoneLoad.peers);
			}
		}
	}

	/** Twice the calls of one target: a target can be lost while another is still suspect. */
	#retryFloor(pool: string): number {
		return 2 * Math.max(0, ...this.options.targets.pool(pool).map(target => target.declaration.slots));
	}

	#applyConfig(): void {
		for (const pool of this.#pools.values()) {
			pool.shares.reweigh();
		}

		this.index.retain(name => this.options.targets.get(name) !== undefined);
	}
}
