import {RankCache} from '../links/index.js';
import {
	BrittleTargets, ColdTargets, ColdWatch, TargetHolds, TargetLimits,
} from '../limits/index.js';
import {
	MeshStageRunner, PoolHost, RetryBudgets, RetryLoans, RetrySpendLog,
} from '../pools/index.js';
import {Placement} from '../placement/index.js';
import {PromptExchange, PromptLoads, PromptMetrics} from '../prompts/index.js';
import {PromptQuarantine} from '../quarantine/index.js';
import {Random} from '../random/index.js';
import {LeaderStandby, ReachWatch} from '../reach/index.js';
import {DrainingReports, TargetRegistry, type RelayTarget} from '../registry/index.js';
import {
	PrefixCacheTracker, RelayMetrics, type RelayServer, RequestMemory, ResponseMemory, TargetLiveness, TargetPools, type ZoneDistance,
} from '../relay/index.js';
import type {ColdStart} from '../routes/index.js';
import {BufferReclaimer} from './buffer-reclaimer.js';
import {Drain} from './drain.js';
import {EventLoopWatch} from './event-loop-watch.js';
import {LinkListeners} from './link-listeners.js';
import {memoryBoundsOf} from './memory-bounds.js';
import {MemoryWatch, readMemory} from './memory-watch.js';
import {MeshMember} from './mesh-member.js';
import {PieceShareLoans} from './piece-share-loans.js';
import {RelayVmLifecycle} from './relay-vm-lifecycle.js';
import type {RelayVmOptions} from './relay-vm-options.js';
import {StageCrashWatch} from './stage-crash-watch.js';
import {StoreTopics} from './store-topics.js';
import {TargetProbes} from './target-probes.js';

/** A pool host linked to at most this share of the entry VMs, itself included, counts as isolated; otherwise so many links are lost at once only if the peers are killed. */
const maxIsolatedShare = 0.34;

/**
 * Creates the parts of an entry VM that relays requests and connects them with each other. `RelayVm` starts and closes them.
 *
 * @example
 * const parts = RelayVmParts.create(options, () => server);
 */
export class RelayVmParts {
	/** Creates the parts. `server` is first called once requests are served. */
	static create(options: RelayVmOptions, server: () => RelayServer): RelayVmParts {
		return new RelayVmParts(options, server);
	}

	readonly lifecycle = RelayVmLifecycle.create();
	readonly registry: TargetRegistry;
	readonly placement: Placement;
	readonly poolHost: PoolHost;
	readonly liveness: TargetLiveness;
	readonly pools: TargetPools;
	readonly prefixCache = PrefixCacheTracker.create();
	readonly metrics = RelayMetrics.create({
		configVersion: () => this.topics.table?.version ?? -1,
		storeEra: () => this.options.storeEras.current ?? 0,
		targetsAgeMs: () => this.topics.targetsAgeMs,
		targets: () => this.registry.size,
		inFlight: () => this.server().inFlight,
		requestBytes: () => this.requestMemory.bytes,
		responseBytes: () => this.responseMemory.bytes,
		entryVms: () => this.member.mesh?.size ?? 1,
		backlog: () => this.poolHost.load(),
		retryBudgets: () => this.#retryBudgetStates(),
		retryShares: () => {
			const now = this.options.clock.now();
			return {entryVms: this.retryBudgets.entryVms(now) ?? 0, borrowed: this.retryBudgets.borrowedShares(now)};
		},
		evacuatedZones: () => this.placement.evacuatedZones,
		quarantined: () => this.quarantine.size,
		memory: readMemory,
		limitedTargets: () => [...this.registry.all()].filter(({limit}) => limit !== undefined).length,
		coldTargets: () => this.coldTargets.size,
		heldBackTargets: () => ({retry_after: this.holds.size, brittle: [...this.registry.all()].filter(target => this.brittle.isBrittle(target)).length}),
	});

	readonly retryBudgets: RetryBudgets;
	readonly retryLoans: RetryLoans;
	readonly pieceShares: PieceShareLoans;
	readonly retrySpendLog: RetrySpendLog;
	readonly ranks = RankCache.create();
	readonly topics: StoreTopics;
	readonly drain: Drain;
	readonly member: MeshMember;
	readonly stages: MeshStageRunner;
	readonly quarantine: PromptQuarantine;
	readonly holds: TargetHolds;
	readonly brittle: BrittleTargets;
	readonly targetLimits: TargetLimits;
	readonly prompts: PromptLoads;
	readonly promptExchange: PromptExchange;
	readonly coldTargets: ColdTargets;
	readonly coldWatch: ColdWatch;
	readonly drainingReports: DrainingReports;
	readonly eventLoopWatch: EventLoopWatch;
	readonly memoryWatch: MemoryWatch;
	readonly reach: ReachWatch<RelayTarget>;
	readonly requestMemory: RequestMemory;
	readonly responseMemory: ResponseMemory;
	readonly standby: LeaderStandby;
	readonly probes: TargetProbes;
	readonly stageCrashWatch: StageCrashWatch;

	private constructor(readonly options: RelayVmOptions, private readonly server: () => RelayServer) {
		const {clock, createLogger} = options;
		const memoryBounds = memoryBoundsOf(options.memoryBytes);
		const reclaimer = BufferReclaimer.create({
			maxGarbageBytes: memoryBounds.garbageBytes, usedBytes: () => this.requestMemory.bytes + this.responseMemory.bytes, clock, logger: createLogger('entry-vm'),
		});
		this.requestMemory = RequestMemory.create({
			maxBytes: memoryBounds.requestBytes, clock, logger: createLogger('requests'), onReceived(bytes) {
				reclaimer.received(bytes);
			},
		});
		this.responseMemory = ResponseMemory.create({maxBytes: memoryBounds.responseBytes, clock, logger: createLogger('requests')});
		const logger = createLogger('targets');
		this.liveness = TargetLiveness.create(clock);
		this.pools = TargetPools.create(this.liveness, begunMs => {
			this.reach.recordReached(begunMs);
		});
		this.holds = TargetHolds.create({
			clock, logger, random: Random.create(options.seed + 5), onChange: () => {
				this.poolHost.placementChanged();
			},
		});
		this.registry = TargetRegistry.create({
			clock,
			logger,
			onUnavailable: target => {
				this.prefixCache.removeEngine(target.id);
				if (target.isRemoved) {
					this.pools.drop(target.entry.address);
				}
			},
			onEntry: (target, entry, isStart, isFromList) => {
				this.coldTargets.seeEntry(target, entry, {isStart: isStart && this.topics.hasTargets, isFromList});
			},
			isKnownToDrain: entry => this.drainingReports.has(entry),
		});
		this.placement = Placement.create({
			clock,
			logger,
			targets: this.registry,
			zone: options.self.zone,
			regionOf: options.regionOf,
			evacuateMs: options.evacuateMs,
			onExcluded: (reason, count) => {
				this.metrics.recordExcluded(reason, count);
			},
			onChange: ({zone, isOn}) => {
				this.poolHost.placementChanged();
				// Its targets may have become cold meanwhile.
				if (!isOn) {
					this.coldTargets.zoneReopened(zone);
				}
			},
		});
		this.probes = TargetProbes.create({
			clock,
			checkHealth: options.checkHealth,
			placement: this.placement,
			holds: this.holds,
			liveness: this.liveness,
			reach: () => this.reach,
			onProbe: (target, result) => {
				this.coldTargets.seeHealth(target, {result, coldMs: undefined});
			},
		});
		this.stageCrashWatch = StageCrashWatch.create({
			clock, logger, probe: async target => this.probes.probe(target), onCrash: () => {
				this.metrics.recordCrash();
			},
		});
		this.drainingReports = DrainingReports.create({
			clock, logger, mesh: () => this.member.mesh, registry: this.registry,
		});
		this.reach = ReachWatch.create({
			clock,
			logger,
			random: Random.create(options.seed + 4),
			zone: options.self.zone,
			callersAddress: () => `${options.callers.host}:${this.server().port}`,
			links: () => this.member.mesh?.links() ?? [],
			targets: () => [...this.registry.all()].filter(target => this.probes.mayProbe(target)),
			probe: async target => {
				const {result} = await this.probes.checkHealth(target);
				return result === 'alive';
			},
			onChange: isCutOff => {
				this.standby.setCutOff(isCutOff);
				if (isCutOff) {
					this.coldTargets.forgetUnreachable();
					this.stages.handOverAll();
				}
			},
		});
		this.standby = LeaderStandby.create({
			clock, logger, onChange: isOn => {
				this.member.mesh?.setStandby(isOn);
				if (isOn) {
					this.pieceShares.returnShares();
				} else {
					this.retryBudgets.takeLoans();
				}
			},
		});
		this.retrySpendLog = RetrySpendLog.create({
			clock, logger: createLogger('requests'), entryVms: () => this.retryBudgets.entryVms(clock.now()), onRetries: retries => {
				this.metrics.recordRetries(retries);
			},
		});
		this.retryBudgets = RetryBudgets.create({
			limits: options.limits.retryLimits,
			self: options.self.incarnation,
			startedMs: options.isFirstStart ? -Infinity : clock.now(),
			isStageService: service => this.#isStageService(service),
			onSpend: (service, spend) => {
				this.retrySpendLog.record(service, 'attempt', spend);
			},
		});
		this.retryLoans = RetryLoans.create({
			clock, logger: createLogger('requests'), mesh: () => this.member.mesh, budgetOf: service => this.retryBudgets.of(service),
		});
		this.poolHost = PoolHost.create({
			clock, logger: createLogger('pools'), registry: this.registry, placement: this.placement, port: this.probes.watchReach(options.stageTargets), retryLimits: options.limits.retryLimits, retryShares: this.retryBudgets.pieceShares, share: () => this.#poolShare(), isOwnZone: zone => this.member.mesh?.isInCell(zone) ?? true, onDraining: target => {
				this.drainingReports.observe(target);
			}, onRetrySpend: (service, spend) => {
				this.retrySpendLog.record(service, 'piece', spend);
			}, holds: this.holds, service: name => this.topics.service(name), onLostCall: call => {
				this.stageCrashWatch.callLost(call);
			},
		});
		this.stages = MeshStageRunner.create({
			clock, logger: createLogger('pools'), host: this.poolHost, mesh: () => this.member.mesh, isCutOff: () => this.reach.isCutOff, allowsZone: (zone, regions) => this.placement.allowsZone(zone, regions),
		});
		this.pieceShares = PieceShareLoans.create({
			clock, logger: createLogger('pools'), self: options.self, mesh: () => this.member.mesh, budgets: this.retryBudgets, host: this.poolHost, isReady: () => this.stages.isReady,
		});
		this.quarantine = PromptQuarantine.create({
			clock, logger, mesh: () => this.member.mesh, writer: options.quarantineWriter,
		});
		this.topics = StoreTopics.create({
			...options,
			configLogger: createLogger('config'),
			targetLogger: logger,
			mesh: () => this.member.mesh,
			registry: this.registry,
			placement: this.placement,
			quarantine: this.quarantine,
			onConfiguration: table => {
				this.server().applyLimits(table);
				this.lifecycle.send({type: 'CONFIGURED'});
				this.coldWatch.check();
			},
			onTargets: () => {
				this.coldWatch.check();
			},
		});
		this.targetLimits = TargetLimits.create({
			clock, logger, mesh: () => this.member.mesh, share: () => this.#poolShare(), targets: this.registry,
		});
		this.brittle = BrittleTargets.create({
			clock, logger, random: Random.create(options.seed + 6), self: options.self.incarnation, mesh: () => this.member.mesh, share: () => this.#poolShare(), entryVms: () => this.retryBudgets.entryVms(clock.now()),
		});
		this.promptExchange = PromptExchange.create({clock, mesh: () => this.member.mesh, loads: () => this.prompts});
		this.prompts = PromptLoads.create({
			clock, service: name => this.topics.service(name), rank: (key, names) => this.ranks.of(key, names), groupOf: zone => options.regionOf(zone) ?? zone, listener: this.promptExchange, metrics: PromptMetrics.create(this.metrics.registry, () => this.prompts.totals()),
		});
		this.coldTargets = ColdTargets.create({
			clock, logger, self: options.self, mesh: () => this.member.mesh, targets: this.registry, coldStart: service => this.#coldStartOf(service), bound: options.coldBound, isCutOff: () => this.reach.isCutOff, onPermit: () => {
				this.metrics.recordColdPermit();
			},
		});
		this.coldWatch = ColdWatch.create({
			clock,
			self: options.self.name,
			targets: () => [...this.registry.all()].filter(target => this.probes.mayProbe(target) && this.#coldStartOf(target.entry.service) !== undefined),
			watchersOf: zone => this.member.mesh?.watchersOf(zone) ?? [],
			rank: (key, names) => this.ranks.of(key, names),
			isWatched: target => this.coldTargets.isUnreachable(target) || this.coldTargets.isClaimed(target) || (target.inFlight > 0 && (this.member.mesh?.links().length ?? 0) === 0),
			checkHealth: async target => this.probes.checkHealth(target, this.topics.service(target.entry.service)?.healthPath),
			onHealth: (target, health, askedMs) => {
				this.coldTargets.seeHealth(target, health, askedMs);
			},
		});
		this.eventLoopWatch = EventLoopWatch.create({
			clock, logger: createLogger('entry-vm'), onDelay: delayMs => {
				this.metrics.recordHeldUp(delayMs);
			},
		});
		this.memoryWatch = MemoryWatch.create({clock, logger: createLogger('entry-vm'), onLogged: options.flushLog});
		const listeners = LinkListeners.create({
			clock,
			quarantine: this.quarantine,
			targetLimits: this.targetLimits,
			brittle: this.brittle,
			coldTargets: this.coldTargets,
			drainingReports: this.drainingReports,
			promptExchange: this.promptExchange,
			reach: this.reach,
			retryBudgets: this.retryBudgets,
			retryLoans: this.retryLoans,
			stages: this.stages,
			topics: this.topics,
		});
		this.member = MeshMember.create({
			...options,
			logger: createLogger('links'),
			metrics: this.metrics,
			distance: zone => this.distance(zone),
			isOnStandby: () => this.standby.isOn,
			onSize: (size, isCurrent) => {
				this.retryBudgets.recordEntryVms(size, {now: clock.now(), isCurrent});
			},
			onMessage(link, message) {
				listeners.receive(link, message);
			},
			onUp(link) {
				listeners.linkUp(link);
			},
			onLost(link) {
				listeners.linkLost(link);
			},
		});
		this.drain = Drain.create({
			clock, logger: createLogger('entry-vm'), lifecycle: this.lifecycle, server: () => this.server(), member: this.member, pieceShares: this.pieceShares, stages: this.stages,
		});
	}

	/** Returns how far a zone is from that of this entry VM. */
	distance(zone: string): ZoneDistance {
		const {self: {zone: own}, regionOf} = this.options;
		if (zone === own) {
			return 'same_zone';
		}

		const region = regionOf(own);
		return region !== undefined && region === regionOf(zone) ? 'same_region' : 'other_region';
	}

	/**
	 * Returns this host's share of the stage calls. It is less than 1 without links to most of the other entry VMs: they
	 * then use another pool host, which calls the same targets.
	 */
	#poolShare(): number {
		const linked = this.member.mesh?.linkedShare ?? 1;
		return linked > maxIsolatedShare ? 1 : linked;
	}

	/** Returns the cold start that a service declares. Stage targets get calls from the host of their pool only, one at a time. */
	#coldStartOf(service: string): ColdStart | undefined {
		const declared = this.topics.service(service);
		return declared?.stagePool ? undefined : declared?.coldStart;
	}

	#isStageService(service: string): boolean {
		return this.topics.service(service)?.stagePool !== undefined;
	}

	#retryBudgetStates() {
		const now = this.options.clock.now();
		return [
			...this.retryBudgets.states(now).map(({service, state}) => ({service, cause: 'attempt', ...state})),
			...this.poolHost.retryBudgets().map(({service, state}) => ({service, cause: 'piece', ...state})),
		];
	}
}
