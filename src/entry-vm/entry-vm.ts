import {randomBytes, randomInt} from 'node:crypto';
import type {Registry} from 'prom-client';
import {ClaimRouter, LogClaimService, LocalClaimService} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';
import {ConfigFollower, ConfigWriter} from '../config/index.js';
import {EventRing, HybridClock} from '../events/index.js';
import type {ListenAddress} from '../http/index.js';
import {LinkMesh, type LinkSettings} from '../links/index.js';
import type {LoggerFactory} from '../logging/index.js';
import {LeaseService, EngineReconciler, WeightBudget} from '../orders/index.js';
import {createOperatorHandler} from '../operators/index.js';
import type {PlatformLog} from '../platform-log/index.js';
import type {VmList} from '../vms/index.js';
import {Random} from '../random/index.js';
import {RequestRunner} from '../requests/index.js';
import {CacheEventPoller} from '../routing/index.js';
import {
	DeclaredTargets, httpPortFactory, TargetProber, VmWatcher, type PortFactory,
} from '../targets/index.js';
import {
	FairScheduler, FcfsScheduler, type Scheduler, type ZoneDigest,
} from '../teams/index.js';
import {CallerServer} from './caller-server.js';
import {EntryVmLifecycle, type EntryVmState} from './entry-vm-lifecycle.js';
import {Metrics} from './metrics.js';
import {OperatorServer, type HttpHandler} from './operator-server.js';

/** Names of the scheduling policies. */
export const policyNames = ['fair', 'fcfs'] as const;

/** Name of a scheduling policy. */
export type PolicyName = typeof policyNames[number];

const maxSeed = 0x7F_FF_FF_FF;

/** Settings and dependencies of an entry VM. */
export interface EntryVmOptions {
	readonly name: string;
	readonly zone: string;
	readonly callers: ListenAddress;
	readonly operators: ListenAddress;
	readonly maxBodyBytes: number;
	readonly eventCapacity: number;
	/** Maximum rate at which orders may load model weights from the weight store, in GB per second. */
	readonly weightGbPerSecond: number;
	readonly clock: Clock;
	readonly log: PlatformLog;
	readonly vmList: VmList;
	readonly createLogger: LoggerFactory;
	/** Scheduling and routing policy; default `fair`. `fcfs` is the baseline for comparisons. */
	readonly policy?: PolicyName;
	readonly ports?: PortFactory;
	/** Links to other entry VMs; if absent, this entry VM runs standalone. */
	readonly links?: LinkSettings | undefined;
	/** Interval between configuration snapshots appended to the log; at most a third of the log's retention. */
	readonly configSnapshotMs?: Ms;
	/** Maximum lifetime of a caller's idempotency key; at most half of the log's retention. */
	readonly claimMaxLifeMs?: Ms;
}

/** Time after the latest deadline for sending the last responses. */
const drainGraceMs: Ms = 1000;
const defaultClaimMaxLifeMs: Ms = 900_000;
/** Time limit for appending the last outcomes to the log at shutdown. */
const claimFlushTimeoutMs: Ms = 2000;
const defaultSnapshotMs: Ms = 600_000;
const drainPollIntervalMs: Ms = 20;
/** Maximum duration of an order, whose call times out after this (see `controlTimeoutMs` in `targets`). */
const longestOrderMs: Ms = 2000;
const weightBurstSeconds = 30;

/**
 * An entry VM: accepts requests from callers, schedules them and calls targets, all in one process.
 *
 * @example
 * const vm = await EntryVm.create(options);
 * await vm.shutdown();
 */
export class EntryVm {
	/** Starts an entry VM; resolves once it is listening. */
	static async create(options: EntryVmOptions): Promise<EntryVm> {
		const vm = new EntryVm(options);
		await vm.#start();
		return vm;
	}

	/** Unique id of this start of the entry VM. */
	readonly incarnation = `${Date.now().toString(36)}${randomBytes(6).toString('hex')}`;
	readonly events: EventRing;
	readonly config: ConfigFollower;
	readonly targets: DeclaredTargets;
	readonly scheduler: Scheduler;
	readonly runner: RequestRunner;
	readonly claims: LogClaimService;
	readonly #lifecycle = EntryVmLifecycle.create();
	readonly #metrics: Metrics;
	readonly #prober: TargetProber;
	readonly #vmWatcher: VmWatcher;
	readonly #lease: LeaseService;
	readonly #engineReconciler: EngineReconciler;
	readonly #hybridClock: HybridClock;
	#mesh: LinkMesh | undefined;
	#cacheEventPoller: CacheEventPoller | undefined;
	#callerServer: CallerServer | undefined;
	#operatorServer: OperatorServer | undefined;
	#shutdownPromise: Promise<void> | undefined;
	readonly #shutdownController = new AbortController();

	private constructor(private readonly options: EntryVmOptions) {
		const {clock, log, createLogger} = options;
		this.#hybridClock = HybridClock.create(clock);
		this.events = EventRing.create({
			process: options.name, clock, capacity: options.eventCapacity, hybridClock: this.#hybridClock,
		});
		this.config = ConfigFollower.create({
			clock, log, events: this.events, logger: createLogger('config'), snapshotMs: options.configSnapshotMs ?? defaultSnapshotMs, random: Random.create(randomInt(2 ** 31)),
			peers: {
				attach: () => undefined,
				request: afterOffset => {
					this.#mesh?.requestConfig(afterOffset);
				},
			},
		});
		this.targets = DeclaredTargets.create({
			config: this.config, events: this.events, clock, ports: options.ports ?? httpPortFactory,
		});
		this.targets.onDraining((name, startId) => {
			this.#mesh?.publish(name, startId);
		});
		this.#prober = TargetProber.create({
			clock, random: Random.create(randomInt(2 ** 31)), targets: this.targets, shouldProbe: (name, targetZone) => this.#mesh?.isWatcher(name, targetZone) ?? true,
		});
		this.#vmWatcher = VmWatcher.create({
			clock, vmList: options.vmList, targets: this.targets, logger: createLogger('targets'), isFrequentPoller: () => this.#mesh?.isGateway ?? true,
		});
		this.#lease = LeaseService.create({
			clock, log, events: this.events, logger: createLogger('orders'), random: Random.create(randomInt(2 ** 31)), holder: this.incarnation, scope: 'orders', settleMs: longestOrderMs, isCandidate: () => this.#mesh?.isGateway ?? true,
		});
		this.#engineReconciler = EngineReconciler.create({
			clock,
			config: this.config,
			targets: this.targets,
			lease: this.#lease,
			budget: WeightBudget.create({clock, gbPerSecond: options.weightGbPerSecond, burstGb: options.weightGbPerSecond * weightBurstSeconds}),
			events: this.events,
			logger: createLogger('orders'),
			longestOrderMs,
		});
		this.claims = LogClaimService.create({
			clock, log, events: this.events, logger: createLogger('claims'), incarnation: this.incarnation, maxLifeMs: options.claimMaxLifeMs ?? defaultClaimMaxLifeMs,
		});
		this.scheduler = this.#createScheduler();
		this.runner = RequestRunner.create({
			clock,
			config: this.config,
			scheduler: this.scheduler,
			claims: ClaimRouter.create({minted: LocalClaimService.create({clock, incarnation: this.incarnation}), logged: this.claims}),
			forwarding: {incarnation: this.incarnation, forwarder: {forward: async (...args) => this.#mesh ? this.#mesh.forward(...args) : 'gone'}},
			events: this.events,
		});
		this.#metrics = Metrics.create({
			inFlight: () => this.runner.inFlight,
			revision: () => this.config.current().revision,
			targets: () => this.#targetCounts(),
			events: () => this.events.recorded,
			claims: () => this.claims.stats,
		});
	}

	get state(): EntryVmState {
		return this.#lifecycle.state;
	}

	get callerPort(): number {
		return this.#callerServer!.port;
	}

	get operatorPort(): number {
		return this.#operatorServer!.port;
	}

	/** Links to other entry VMs; `undefined` without a link key. */
	get mesh(): LinkMesh | undefined {
		return this.#mesh;
	}

	/** Registry of all metrics of this entry VM. */
	get registry(): Registry {
		return this.#metrics.registry;
	}

	/** Signal that is aborted when a shutdown begins, whatever requested it. */
	get stopping(): AbortSignal {
		return this.#shutdownController.signal;
	}

	/**
	 * Returns the work by team and the calls in flight for the digest sent to the zone. Call it once per digest sent,
	 * because it records the work as published.
	 */
	localDigest(): Pick<ZoneDigest, 'work' | 'inFlight'> {
		return this.scheduler instanceof FairScheduler ? this.scheduler.localDigest() : {work: [], inFlight: []};
	}

	/** Drains and stops this entry VM; later calls wait for the first. */
	async shutdown(): Promise<void> {
		this.#shutdownController.abort();
		this.#shutdownPromise ??= this.#drain();
		return this.#shutdownPromise;
	}

	async #start(): Promise<void> {
		const {options} = this;
		this.config.start();
		this.#prober.start();
		this.#vmWatcher.start();
		this.#lease.start();
		this.#engineReconciler.start();
		this.claims.start();
		this.#mesh = options.links && await this.#createMesh(options.links);
		this.#startCacheEventPoller();
		this.#operatorServer = await OperatorServer.create({
			listen: options.operators,
			metrics: this.#metrics,
			isReady: () => this.#isReady(),
			rpc: this.#createOperatorHandler(),
		});
		this.#callerServer = await CallerServer.create({
			clock: options.clock,
			runner: this.runner,
			incarnation: this.incarnation,
			listen: options.callers,
			maxBodyBytes: options.maxBodyBytes,
			isReady: () => this.#isReady(),
			isConfigured: () => this.config.current().revision >= 0,
			onResult: (pipeline, team, result, tookMs) => {
				this.#metrics.observe(pipeline, team, result, tookMs);
			},
		});
		this.#lifecycle.send({type: 'LISTENING'});
		options.createLogger('entry-vm').info('Listening.', {callers: this.callerPort, operators: this.operatorPort, zone: options.zone});
	}

	#createOperatorHandler(): HttpHandler {
		const {options, config, events, targets} = this;
		return createOperatorHandler({
			clock: options.clock,
			config,
			events,
			targets,
			writer: ConfigWriter.create({clock: options.clock, log: options.log, follower: config}),
			claims: this.claims.follower,
			vmList: this.#vmWatcher,
			lease: this.#lease,
			peerEvents: this.#mesh,
			peerStatus: () => this.#mesh?.peerStates() ?? [],
			logger: options.createLogger('operators'),
			vm: () => ({
				name: options.name, zone: options.zone, incarnation: this.incarnation, state: this.state, inFlight: this.runner.inFlight,
			}),
			targetCounts: () => this.#targetCounts(),
			shutdown: () => {
				void this.shutdown();
			},
		});
	}

	/** Starts correcting the scheduler's prefix index from the cache events of the zone's engines. */
	#startCacheEventPoller(): void {
		if (this.scheduler instanceof FairScheduler) {
			this.#cacheEventPoller = CacheEventPoller.create({
				clock: this.options.clock, index: this.scheduler.prefixIndex, engines: () => this.targets.all().filter(target => target.zone === this.options.zone && target.dispatchable),
			});
			this.#cacheEventPoller.start();
		}
	}

	#isReady(): boolean {
		return this.#lifecycle.state === 'serving' && this.config.current().revision >= 0;
	}

	async #drain(): Promise<void> {
		const {clock, createLogger} = this.options;
		const logger = createLogger('entry-vm');
		this.#lifecycle.send({type: 'SHUTDOWN'});
		this.events.record({kind: 'shutdown', detail: `${this.runner.inFlight} requests in progress`});
		logger.info('Draining.', {inFlight: this.runner.inFlight});
		this.#callerServer!.stopAccepting();
		const endMs = Math.max(clock.now(), this.runner.latestDeadlineMs) + drainGraceMs;
		while ((this.#callerServer!.inFlight > 0 || this.runner.inFlight > 0) && clock.now() < endMs) {
			await clock.sleep(drainPollIntervalMs);
		}

		this.#lifecycle.send({type: 'IDLE'});
		await this.claims.stop(claimFlushTimeoutMs);
		this.config.stop();
		this.#prober.stop();
		this.#vmWatcher.stop();
		this.#engineReconciler.stop();
		this.#lease.stop();
		this.#cacheEventPoller?.stop();
		await this.#callerServer!.close();
		await this.#operatorServer!.close();
		await this.#mesh?.close();
		logger.info('Stopped.', {cutOff: this.#callerServer!.inFlight});
	}

	async #createMesh(settings: LinkSettings): Promise<LinkMesh> {
		const {name, zone, clock, vmList, createLogger} = this.options;
		const mesh = await LinkMesh.create({
			...settings,
			self: {name, zone, incarnation: this.incarnation},
			clock,
			random: Random.create(randomInt(0x7F_FF_FF_FF)),
			vmList,
			registry: this.#metrics.registry,
			logger: createLogger('links'),
			events: this.events,
			hybridClock: this.#hybridClock,
			regionOf: other => this.config.current().declarations.zone(other)?.region,
			runner: this.runner,
			config: this.config,
			configOffset: () => this.config.current().offset,
			digest: {
				localLoad: () => this.localDigest(),
				draining: () => this.targets.all().filter(target => target.state === 'draining').map(target => ({target: target.name, startId: target.startId!})),
			},
		});
		mesh.onDraining((target, startId, source) => {
			this.targets.markDraining(target, startId, `peer ${source}`);
		});
		return mesh;
	}

	#createScheduler(): Scheduler {
		const {clock, zone, policy = 'fair'} = this.options;
		// Each entry VM needs its own random numbers: with equal ones they would all choose the same targets.
		return policy === 'fcfs'
			? FcfsScheduler.create({clock, targets: this.targets})
			: FairScheduler.create({
				clock, config: this.config, targets: this.targets, zone, zoneView: {peerDigests: () => this.#mesh?.peerDigests() ?? []}, random: Random.create(randomInt(maxSeed)), events: this.events,
			});
	}

	#targetCounts(): Record<string, number> {
		const counts: Record<string, number> = {};
		for (const target of this.targets.all()) {
			counts[target.state] = (counts[target.state] ?? 0) + 1;
		}

		return counts;
	}
}
