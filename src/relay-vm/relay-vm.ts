import {listenWithRetry, type Listen} from '../http/index.js';
import type {RequestProgress} from '../errors/index.js';
import {RelayServer} from '../relay/index.js';
import {startControlServer, type ControlServer} from './control-server.js';
import type {RelayLimits, RelayVmOptions} from './relay-vm-options.js';
import {RelayVmParts} from './relay-vm-parts.js';
import {createServerOptions} from './server-options.js';
import {startInBackground} from './start-in-background.js';
import {tryShutdownStep} from './try-shutdown-step.js';

/** Tries to bind the addresses for callers and readiness checks; longer than the grace period of an earlier process that still has them. */
const listenSchedule = {timeoutMs: 60_000, initialDelayMs: 100, maxDelayMs: 1000};

/**
 * Entry VM that relays requests: follows configuration and targets in the store, serves callers, and drains on shutdown.
 *
 * @example
 * const vm = await RelayVm.create(options);
 * await vm.shutdown();
 */
export class RelayVm {
	/**
	 * Starts to follow the store and to listen. Throws if the address for callers or readiness checks cannot be bound in time;
	 * nothing has been accepted then, and nothing is left open.
	 */
	static async create(options: RelayVmOptions): Promise<RelayVm> {
		const vm = new RelayVm(options);
		await vm.#start();
		return vm;
	}

	readonly #parts: RelayVmParts;
	readonly #closing = new AbortController();
	#limits: RelayLimits;
	#server!: RelayServer;
	#control!: ControlServer;
	#metricsServer: ControlServer | undefined;

	private constructor(private readonly options: RelayVmOptions) {
		this.#limits = options.limits;
		this.#parts = RelayVmParts.create(options, () => this.#server);
	}

	/** True while the load balancer should route connections to this VM. */
	get isReady(): boolean {
		return this.#parts.lifecycle.state === 'serving' && this.#parts.topics.hasTargets && this.#parts.stages.isReady && !this.#parts.reach.isCutOff;
	}

	/** Applies changed limits. Retries that were spent under the earlier ones still count. */
	setLimits({retryLimits, graceMs}: RelayLimits): void {
		this.#limits = {retryLimits, graceMs};
		this.#parts.drain.setGrace(graceMs);
		this.#parts.retryBudgets.setLimits(retryLimits, this.options.clock.now());
		this.#parts.poolHost.setRetryLimits(retryLimits);
	}

	/** Port to which callers connect. */
	get callersPort(): number {
		return this.#server.port;
	}

	/** Number of requests in progress, those whose body is still received included. */
	get inFlight(): number {
		return this.#server.inFlight;
	}

	/** Counts of requests since the start. */
	get requestProgress(): RequestProgress {
		const {ended, answered, begun} = this.#parts.metrics.requestCounts;
		return {arrived: ended + this.inFlight, answered: answered + begun};
	}

	/** Counts an error that nothing handled, by the place that threw it. */
	recordUnhandledError(place: string): void {
		this.#parts.metrics.recordUnhandledError(place);
	}

	/** Version of the current configuration; -1 before the first. */
	get configVersion(): number {
		return this.#parts.topics.table?.version ?? -1;
	}

	/** Number of known targets. */
	get targetCount(): number {
		return this.#parts.registry.size;
	}

	/** Drains: rejects the requests that cannot end in the grace period, waits for the other requests and hosted stage plans in progress until the grace period ends, then closes. Resolves when everything is closed. */
	async shutdown(): Promise<void> {
		await this.#parts.drain.run(this.#limits.graceMs);
		await this.close();
	}

	/** Closes all servers and connections immediately. */
	async close(): Promise<void> {
		const logger = this.options.createLogger('entry-vm');
		this.#closing.abort();
		this.#parts.member.stop();
		this.#parts.topics.stop();
		this.#parts.quarantine.close();
		this.#parts.coldWatch.close();
		this.#parts.coldTargets.close();
		this.#parts.holds.close();
		this.#parts.eventLoopWatch.close();
		this.#parts.memoryWatch.close();
		this.#parts.reach.close();
		this.#parts.placement.close();
		this.#parts.promptExchange.close();
		this.#parts.standby.close();
		this.#parts.pieceShares.close();
		this.#parts.stages.close();
		await tryShutdownStep(logger, 'close the server for callers', async () => this.#server.close());
		await tryShutdownStep(logger, 'close the readiness endpoint', async () => this.#control.close());
		await tryShutdownStep(logger, 'close the metrics endpoint', async () => this.#metricsServer?.close());
		await tryShutdownStep(logger, 'close the mesh', async () => this.#parts.member.close());
		this.#parts.pools.destroy();
	}

	async #start(): Promise<void> {
		const {options} = this;
		const {clock, createLogger} = options;
		const bind = (purpose: string): Listen => async (server, address) => listenWithRetry(server, address, {
			clock, logger: createLogger('entry-vm'), schedule: listenSchedule, signal: options.signal, purpose,
		});
		this.#control = await startControlServer({
			listen: options.control, bind: bind('readiness'), paths: {'/ready': async () => ({status: this.isReady ? 200 : 503, body: ''})},
		});
		// Bound last, and with nothing to wait for afterwards: a start that is given up has accepted no request.
		try {
			options.signal?.throwIfAborted();
			this.#server = await RelayServer.create(createServerOptions(this.#parts, bind('callers')));
		} catch (err) {
			await this.#control.close();
			throw err;
		}

		this.#parts.topics.start();
		this.#parts.quarantine.start();
		this.#parts.stages.start();
		this.#parts.eventLoopWatch.start();
		this.#parts.coldWatch.start();
		this.#parts.memoryWatch.start();
		void this.#startMetrics();
		void this.#parts.member.start();
		this.#parts.pieceShares.start();
		options.storeEras.onChange(() => {
			void this.#parts.member.restoreKey();
		});
		createLogger('entry-vm').info('Started.', {zone: options.self.zone, callers: `${options.callers.host}:${options.callers.port}`, control: `${options.control.host}:${options.control.port}`});
	}

	/** Starts the metrics endpoint, with tries until its address can be bound; until then requests are served without metrics. */
	async #startMetrics(): Promise<void> {
		const {metrics, clock, createLogger} = this.options;
		const {registry} = this.#parts.metrics;
		await startInBackground({
			clock,
			logger: createLogger('entry-vm'),
			message: 'Cannot serve metrics yet; requests are still served, and it is tried again.',
			signal: this.#closing.signal,
			act: async () => {
				const server = await startControlServer({
					listen: metrics, paths: {'/metrics': async () => ({status: 200, body: await registry.metrics(), contentType: registry.contentType})},
				});
				this.#metricsServer = server;
				if (this.#closing.signal.aborted) {
					await server.close();
				}
			},
		});
	}
}
