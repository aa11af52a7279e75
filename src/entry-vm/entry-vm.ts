import {randomBytes, randomInt} from 'node:crypto';
import {MintedClaims} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';
import {ConfigFollower} from '../config/index.js';
import {EventRing} from '../events/index.js';
import {sendJson, type ListenAddress} from '../http/index.js';
import type {LoggerFactory} from '../logs/index.js';
import type {PlatformLog, VmList} from '../platform/index.js';
import {Random} from '../random/index.js';
import {RequestRunner} from '../requests/index.js';
import {CacheEventPoller} from '../routing/index.js';
import {
	DeclaredTargets, httpPortFactory, TargetProber, VmWatcher, type PortFactory,
} from '../targets/index.js';
import {
	emptyZoneView, FairScheduler, FcfsScheduler, type Scheduler, type ZoneDigest, type ZoneView,
} from '../teams/index.js';
import {CallerServer} from './caller-server.js';
import {EntryVmLifecycle, type EntryVmState} from './entry-vm-lifecycle.js';
import {Metrics} from './metrics.js';
import {OperatorServer} from './operator-server.js';

/** Names of the scheduling policies. */
export const policyNames = ['fair', 'fcfs'] as const;

/** Name of a scheduling policy. */
export type PolicyName = typeof policyNames[number];

const maxSeed = 0x7F_FF_FF_FF;

/** Settings and ports of an entry VM. */
export interface EntryVmOptions {
	readonly name: string;
	readonly zone: string;
	readonly callers: ListenAddress;
	readonly operators: ListenAddress;
	readonly maxBodyBytes: number;
	readonly eventCapacity: number;
	readonly clock: Clock;
	readonly log: PlatformLog;
	readonly vmList: VmList;
	readonly createLogger: LoggerFactory;
	/** Queueing and routing; `fcfs` is the baseline. */
	readonly policy?: PolicyName;
	/** Digests of the zone's other entry VMs; none when absent. */
	readonly zoneView?: ZoneView;
	readonly ports?: PortFactory;
}

/** Time for the last answers to leave after the latest deadline. */
const drainSlackMs: Ms = 1000;
const idlePollMs: Ms = 20;

/**
 * An entry VM: everything between callers and targets, in one process.
 *
 * @example
 * const vm = await EntryVm.create(options);
 * await vm.shutdown();
 */
export class EntryVm {
	/** Starts an entry VM; resolves when it listens. */
	static async create(options: EntryVmOptions): Promise<EntryVm> {
		const vm = new EntryVm(options);
		await vm.#start();
		return vm;
	}

	/** Differs for each start. */
	readonly incarnation = `${Date.now().toString(36)}${randomBytes(6).toString('hex')}`;
	readonly events: EventRing;
	readonly config: ConfigFollower;
	readonly targets: DeclaredTargets;
	readonly scheduler: Scheduler;
	readonly runner: RequestRunner;
	readonly #lifecycle = EntryVmLifecycle.create();
	readonly #metrics: Metrics;
	readonly #prober: TargetProber;
	readonly #vmWatcher: VmWatcher;
	#cacheEvents: CacheEventPoller | undefined;
	#callers: CallerServer | undefined;
	#operators: OperatorServer | undefined;
	#shutdown: Promise<void> | undefined;

	private constructor(private readonly options: EntryVmOptions) {
		const {clock, log, createLogger} = options;
		this.events = EventRing.create({process: options.name, clock, capacity: options.eventCapacity});
		this.config = ConfigFollower.create({
			clock, log, events: this.events, logger: createLogger('config'),
		});
		this.targets = DeclaredTargets.create({
			config: this.config, events: this.events, clock, ports: options.ports ?? httpPortFactory,
		});
		this.#prober = TargetProber.create({clock, random: Random.create(randomInt(2 ** 31)), targets: this.targets});
		this.#vmWatcher = VmWatcher.create({
			clock, vmList: options.vmList, targets: this.targets, logger: createLogger('targets'),
		});
		this.scheduler = this.#createScheduler();
		this.runner = RequestRunner.create({
			clock,
			config: this.config,
			scheduler: this.scheduler,
			claims: MintedClaims.create({clock, incarnation: this.incarnation}),
			events: this.events,
		});
		this.#metrics = Metrics.create({
			inFlight: () => this.runner.inFlight,
			revision: () => this.config.current().revision,
			targets: () => this.#targetCounts(),
			events: () => this.events.recorded,
		});
	}

	get state(): EntryVmState {
		return this.#lifecycle.state;
	}

	get callerPort(): number {
		return this.#callers!.port;
	}

	get operatorPort(): number {
		return this.#operators!.port;
	}

	/** Work and calls in flight for the digest that goes to the zone; call it once for each digest that is sent. */
	localDigest(): Pick<ZoneDigest, 'work' | 'inFlight'> {
		return this.scheduler instanceof FairScheduler ? this.scheduler.localDigest() : {work: [], inFlight: []};
	}

	/** Drains and stops; a second call waits for the first. */
	async shutdown(): Promise<void> {
		this.#shutdown ??= this.#drain();
		return this.#shutdown;
	}

	async #start(): Promise<void> {
		const {options} = this;
		this.config.start();
		this.#prober.start();
		this.#vmWatcher.start();
		this.#pollCacheEvents();
		this.#operators = await OperatorServer.create({
			listen: options.operators,
			metrics: this.#metrics,
			isReady: () => this.#isReady(),
			rpc(_req, res) {
				sendJson(res, 404, {message: 'Cannot serve the path: it is unknown'});
			},
		});
		this.#callers = await CallerServer.create({
			clock: options.clock,
			runner: this.runner,
			incarnation: this.incarnation,
			listen: options.callers,
			maxBodyBytes: options.maxBodyBytes,
			isReady: () => this.#isReady(),
			onResult: (pipeline, team, result, tookMs) => {
				this.#metrics.observe(pipeline, team, result, tookMs);
			},
		});
		this.#lifecycle.send({type: 'LISTENING'});
		options.createLogger('entry-vm').info('Listening.', {callers: this.callerPort, operators: this.operatorPort, zone: options.zone});
	}

	/** Corrects the scheduler's prefix index by the cache events of the zone's engines. */
	#pollCacheEvents(): void {
		if (this.scheduler instanceof FairScheduler) {
			this.#cacheEvents = CacheEventPoller.create({
				clock: this.options.clock, index: this.scheduler.index, engines: () => this.targets.all().filter(target => target.zone === this.options.zone && target.dispatchable),
			});
			this.#cacheEvents.start();
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
		this.#callers!.stopAccepting();
		const end = Math.max(clock.now(), this.runner.latestDeadlineMs) + drainSlackMs;
		while (this.#callers!.inFlight > 0 && clock.now() < end) {
			await clock.sleep(idlePollMs);
		}

		this.#lifecycle.send({type: 'IDLE'});
		this.config.stop();
		this.#prober.stop();
		this.#vmWatcher.stop();
		this.#cacheEvents?.stop();
		await this.#callers!.close();
		await this.#operators!.close();
		logger.info('Stopped.', {cutOff: this.#callers!.inFlight});
	}

	#createScheduler(): Scheduler {
		const {clock, zone, policy = 'fair', zoneView = emptyZoneView} = this.options;
		// Entry VMs that drew the same random numbers would choose the same targets.
		return policy === 'fcfs'
			? FcfsScheduler.create({clock, targets: this.targets})
			: FairScheduler.create({
				clock, config: this.config, targets: this.targets, zone, zoneView, random: Random.create(randomInt(maxSeed)), events: this.events,
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
