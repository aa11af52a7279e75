import type {Clock, Ms} from '../clock/index.js';
import type {ListenAddress} from '../http/index.js';
import {errorMessage} from '../errors/index.js';
import {EventRing} from '../events/index.js';
import {
	agreeOnLinkKey, RankCache, RelayMesh, type LinkIdentity, type LinkKeyStore,
} from '../links/index.js';
import type {LoggerFactory} from '../logs/index.js';
import {
	MeshStageRunner, PoolHost, ServiceRetryBudget, type RetryLimits, type StageMessage, type StageTargetPort,
} from '../pools/index.js';
import {Random} from '../random/index.js';
import {TargetRegistry, type RelayTarget, type TargetEntry} from '../registry/index.js';
import {
	PromptMemory, RelayMetrics, RelayServer, TargetPools, type RelayCodec, type ZoneDistance,
} from '../relay/index.js';
import {RouteTable, type RelayDeclarations} from '../routes/index.js';
import {TopicFollower, type KeyedRecord, type KeyedTopic} from '../topics/index.js';
import type {VmList} from '../vms/index.js';
import {startControlServer, type ControlServer} from './control-server.js';
import {RelayVmLifecycle} from './relay-vm-lifecycle.js';

/** Time for which the store holds a read of the configuration back; a half-open connection shows after it. */
const configWaitMs: Ms = 2000;
/** Pause between reads of the targets' entries. */
const targetsPollMs: Ms = 800;
/** After SIGTERM, requests are taken this long: the balancer sends connections until it has asked twice in vain. */
const takeAfterTermMs: Ms = 2500;
/** Earliest end after SIGTERM. */
const leastDrainMs: Ms = 3000;
/** Part of the grace time that is left for closing. */
const graceMarginMs: Ms = 500;
const drainCheckMs: Ms = 100;
/** Pause before another try to listen for links. */
const meshRetryMs: Ms = 500;
/** Looks at the list of entry VMs; it is in memory, so looking costs nothing. */
const vmListIntervals = {busyMs: 250, quietMs: 250, quietAfterMs: 0};
/** Events kept for links; the relay logs its own. */
const eventCapacity = 500;
/** Entry VMs that share a budget while their number is not known yet. */
const assumedEntryVms = 9;
/** A host linked to at most this part of the entry VMs is cut off; more are lost at once only when they are killed. */
const isolatedShare = 0.34;
/** Part of the budget of repeats that is spent; the rest covers entry VMs that this one does not know of. */
const repeatShare = 0.8;

/** Bounds that may change while the process runs. */
export interface RelayBounds {
	readonly repeats: RetryLimits;
	/** Time between SIGTERM and the end by force. */
	readonly graceMs: Ms;
}

/** Addresses, bounds and ports of a relaying entry VM. */
export interface RelayVmOptions {
	readonly self: LinkIdentity;
	/** Where other entry VMs connect. */
	readonly links: ListenAddress;
	readonly vmList: VmList;
	readonly linkKeyStore: LinkKeyStore;
	readonly regionOf: (zone: string) => string | undefined;
	readonly callers: ListenAddress;
	/** Where the balancer asks for readiness. */
	readonly control: ListenAddress;
	readonly metrics: ListenAddress;
	readonly clock: Clock;
	readonly createLogger: LoggerFactory;
	readonly seed: number;
	readonly codec: RelayCodec;
	readonly stageTargets: StageTargetPort;
	readonly probe: (target: RelayTarget) => Promise<boolean>;
	readonly configTopic: KeyedTopic;
	readonly targetTopic: KeyedTopic;
	/** Decodes the configuration; `undefined` for a record that holds none. */
	readonly readDeclarations: (record: KeyedRecord) => RelayDeclarations | undefined;
	/** Decodes a target's entry; `undefined` for one that names no target. */
	readonly readTarget: (record: KeyedRecord) => TargetEntry | undefined;
	readonly bounds: RelayBounds;
}

/**
 * A relaying entry VM: follows configuration and targets, serves callers, and drains when told to.
 *
 * @example
 * const vm = await RelayVm.create(options);
 * await vm.shutdown();
 */
export class RelayVm {
	/** Starts following and listening. Throws when an address cannot be bound. */
	static async create(options: RelayVmOptions): Promise<RelayVm> {
		const vm = new RelayVm(options);
		await vm.#start();
		return vm;
	}

	readonly #lifecycle = RelayVmLifecycle.create();
	readonly #registry: TargetRegistry;
	readonly #host: PoolHost;
	readonly #pools = TargetPools.create();
	readonly #memory = PromptMemory.create();
	readonly #metrics = RelayMetrics.create({
		configVersion: () => this.configVersion,
		targetsAgeMs: () => this.#targetFollower.ageMs,
		targets: () => this.#registry.size,
		inFlight: () => this.#server.inFlight,
		entryVms: () => this.#mesh?.size ?? 1,
		backlog: () => this.#host.load(),
	});

	readonly #budgets = new Map<string, ServiceRetryBudget>();
	readonly #ranks = RankCache.create();
	readonly #configFollower: TopicFollower;
	readonly #targetFollower: TopicFollower;
	#table: RouteTable | undefined;
	#hasTargets = false;
	#isClosed = false;
	#bounds: RelayBounds;
	#mesh: RelayMesh | undefined;
	readonly #linked: MeshStageRunner;
	#server!: RelayServer;
	#control!: ControlServer;
	#metricsServer: ControlServer | undefined;

	private constructor(private readonly options: RelayVmOptions) {
		const {clock, createLogger} = options;
		this.#bounds = options.bounds;
		const logger = createLogger('targets');
		this.#registry = TargetRegistry.create({
			clock,
			logger,
			onClosed: target => {
				this.#memory.forget(target.id);
				if (target.isGone) {
					this.#pools.drop(target.entry.address);
				}
			},
		});
		this.#host = PoolHost.create({
			clock, logger: createLogger('pools'), registry: this.#registry, port: options.stageTargets, retryLimits: options.bounds.repeats, share: () => this.#poolShare(), service: name => this.#table?.declarations.services.get(name),
		});
		this.#linked = MeshStageRunner.create({
			clock, logger: createLogger('pools'), host: this.#host, mesh: () => this.#mesh,
		});
		this.#configFollower = TopicFollower.create({
			name: 'configuration',
			topic: options.configTopic,
			clock,
			logger: createLogger('config'),
			pollMs: 0,
			waitMs: configWaitMs,
			onSnapshot: ({records}) => {
				this.#configure(records);
			},
			onRecords: records => {
				this.#configure(records);
			},
		});
		this.#targetFollower = TopicFollower.create({
			name: 'targets',
			topic: options.targetTopic,
			clock,
			logger,
			pollMs: targetsPollMs,
			waitMs: 0,
			onSnapshot: ({records}) => {
				this.#hasTargets = true;
				this.#registry.replace(records.flatMap(record => options.readTarget(record) ?? []));
			},
			onRecords: records => {
				this.#updateTargets(records);
			},
			onRegained: outageMs => {
				this.#registry.storeRegained(outageMs);
			},
		});
	}

	/** True while the balancer should send connections. */
	get isReady(): boolean {
		return this.#lifecycle.state === 'serving' && this.#hasTargets && this.#linked.isReady;
	}

	/** Takes changed bounds. Budgets start anew, so that no repeat is counted under two limits. */
	setBounds({repeats, graceMs}: RelayBounds): void {
		const isChanged = JSON.stringify(repeats) !== JSON.stringify(this.#bounds.repeats);
		this.#bounds = {repeats, graceMs};
		if (isChanged) {
			this.#budgets.clear();
			this.#host.setRetryLimits(repeats);
		}
	}

	/** Port for callers. */
	get callersPort(): number {
		return this.#server.port;
	}

	/** Version of the configuration in force; -1 before the first. */
	get configVersion(): number {
		return this.#table?.version ?? -1;
	}

	/** Targets known. */
	get targetCount(): number {
		return this.#registry.size;
	}

	/** Ends requests in progress, then closes. Resolves when everything is closed. */
	async shutdown(): Promise<void> {
		const {clock, createLogger} = this.options;
		const logger = createLogger('entry-vm');
		const startedMs = clock.now();
		this.#lifecycle.send({type: 'SHUTDOWN'});
		this.#mesh?.leave();
		this.#linked.handOver();
		logger.info('Draining.', {in_flight: this.#server.inFlight, hosted_plans: this.#linked.hostedPlans});
		while (this.#lifecycle.state !== 'stopped') {
			await clock.sleep(drainCheckMs);
			const elapsedMs = clock.now() - startedMs;
			if (elapsedMs >= takeAfterTermMs) {
				this.#lifecycle.send({type: 'TURN_AWAY'});
				this.#server.closeIdle();
			}

			if ((elapsedMs >= leastDrainMs && this.#server.inFlight === 0 && this.#linked.hostedPlans === 0) || elapsedMs >= this.#bounds.graceMs - graceMarginMs) {
				this.#lifecycle.send({type: 'IDLE'});
			}
		}

		logger.info('Stopped.', {in_flight: this.#server.inFlight, took_ms: Math.round(clock.now() - startedMs)});
		await this.close();
	}

	/** Closes everything at once. */
	async close(): Promise<void> {
		this.#isClosed = true;
		this.#configFollower.stop();
		this.#targetFollower.stop();
		await this.#server.close();
		await this.#control.close();
		await this.#metricsServer?.close();
		await this.#mesh?.close();
		this.#pools.destroy();
	}

	async #start(): Promise<void> {
		const {options} = this;
		const {clock, createLogger} = options;
		const isClosing = () => this.#lifecycle.state !== 'serving' && this.#lifecycle.state !== 'starting';
		this.#server = await RelayServer.create({
			listen: options.callers,
			table: () => this.#table,
			isTurningAway: () => this.#lifecycle.state === 'leaving',
			parts: {
				clock,
				random: Random.create(options.seed),
				logger: createLogger('requests'),
				metrics: this.#metrics,
				codec: options.codec,
				registry: this.#registry,
				pools: this.#pools,
				stages: this.#linked,
				memory: this.#memory,
				zone: options.self.zone,
				distance: zone => this.#distance(zone),
				rank: (key, names) => this.#ranks.of(key, names),
				repeats: service => this.#budget(service),
				probe: options.probe,
				isClosing,
				targetsAgeMs: () => this.#targetFollower.ageMs,
			},
		});
		this.#control = await startControlServer({
			listen: options.control, paths: {'/ready': async () => ({status: this.isReady ? 200 : 503, body: ''})},
		});
		await this.#startMetrics();
		this.#configFollower.start();
		this.#targetFollower.start();
		void this.#startMesh();
		createLogger('entry-vm').info('Started.', {zone: options.self.zone, callers: `${options.callers.host}:${options.callers.port}`, control: `${options.control.host}:${options.control.port}`});
	}

	/** Requests are served without metrics where their port is taken. */
	async #startMetrics(): Promise<void> {
		const {metrics, createLogger} = this.options;
		const {registry} = this.#metrics;
		try {
			this.#metricsServer = await startControlServer({
				listen: metrics, paths: {'/metrics': async () => ({status: 200, body: await registry.metrics(), contentType: registry.contentType})},
			});
		} catch (err) {
			createLogger('entry-vm').error('Serving without metrics.', {error: errorMessage(err)});
		}
	}

	/** Until the port for links is free, this entry VM works alone. */
	async #startMesh(): Promise<void> {
		const {clock, createLogger} = this.options;
		while (!this.#mesh && !this.#isClosed) {
			try {
				await this.#createMesh();
			} catch (err) {
				createLogger('links').error('Cannot listen for links yet.', {error: errorMessage(err)});
				await clock.sleep(meshRetryMs);
			}
		}
	}

	async #createMesh(): Promise<void> {
		const {self, links, clock, vmList, linkKeyStore, createLogger, seed} = this.options;
		const logger = createLogger('links');
		this.#mesh = await RelayMesh.create({
			self,
			key: await agreeOnLinkKey({store: linkKeyStore, clock, logger}),
			listen: links,
			clock,
			random: Random.create(seed + 1),
			vmList,
			intervals: vmListIntervals,
			registry: this.#metrics.registry,
			logger,
			events: EventRing.create({process: self.name, clock, capacity: eventCapacity}),
			distanceTo: zone => {
				const distance = this.#distance(zone);
				return distance === 'same_region' ? 'other_zone' : distance;
			},
			onMessage: (link, message) => {
				if (message.type.startsWith('stage-')) {
					this.#linked.receive(link, message as StageMessage);
				}
			},
			onLost: link => {
				this.#linked.linkLost(link);
			},
		});
	}

	/** Takes the newest version among records; one that is not newer than the one in force is left out. */
	#configure(records: readonly KeyedRecord[]): void {
		const logger = this.options.createLogger('config');
		for (const record of records) {
			const declarations = this.options.readDeclarations(record);
			if (!declarations) {
				continue;
			}

			const current = this.#table?.version;
			if (current !== undefined && declarations.version <= current) {
				logger.info('Left out a version that is not newer.', {version: declarations.version, current});
				continue;
			}

			this.#table = RouteTable.create(declarations);
			this.#server.applyLimits(this.#table);
			this.#lifecycle.send({type: 'CONFIGURED'});
			logger.info('Applied a version.', {
				version: declarations.version, before: current, routes: declarations.routes.length, teams: declarations.teams.length,
			});
		}
	}

	#updateTargets(records: readonly KeyedRecord[]): void {
		for (const record of records) {
			const entry = this.options.readTarget(record);
			if (entry) {
				this.#registry.put(entry);
			} else if (record.value === undefined) {
				this.#registry.remove(record.key);
			}
		}
	}

	/** A host without links to most of the others is cut off from the host that they use. */
	#poolShare(): number {
		const linked = this.#mesh?.linkedShare ?? 1;
		return linked > isolatedShare ? 1 : linked;
	}

	#budget(service: string): ServiceRetryBudget {
		let budget = this.#budgets.get(service);
		if (!budget) {
			budget = ServiceRetryBudget.create({limits: this.#bounds.repeats, share: () => repeatShare / (this.#mesh?.size ?? assumedEntryVms)});
			this.#budgets.set(service, budget);
		}

		return budget;
	}

	#distance(zone: string): ZoneDistance {
		const {self: {zone: own}, regionOf} = this.options;
		if (zone === own) {
			return 'same_zone';
		}

		const region = regionOf(own);
		return region !== undefined && region === regionOf(zone) ? 'same_region' : 'other_region';
	}
}
