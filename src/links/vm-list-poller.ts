import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import type {VmList, VmSnapshot} from '../vms/index.js';
import type {Random} from '../random/index.js';

/** Poll interval while the list changes or cannot be read. */
const busyPollMs: Ms = 1000;
/** Poll interval of an unchanged list: each poll transfers the whole list, and links detect lost peers sooner. */
const quietPollMs: Ms = 15_000;
/** Time without a change after which the longer interval applies. */
const quietAfterMs: Ms = 20_000;
const defaultIntervals = {busyMs: busyPollMs, quietMs: quietPollMs, quietAfterMs};

/** Settings and dependencies of a VM list poller. */
export interface VmListPollerOptions {
	readonly clock: Clock;
	readonly random: Random;
	readonly vmList: VmList;
	readonly logger: PartLogger;
	readonly onList: (snapshot: VmSnapshot) => void;
	/** Replaces the default intervals where reading the list costs more or less. */
	readonly intervals?: {readonly busyMs: Ms; readonly quietMs: Ms; readonly quietAfterMs: Ms};
}

/**
 * Polls the platform's VM list, more often while it changes. While the list cannot be read, `onList` is not called, so
 * the last list stays in use.
 *
 * @internal
 */
export class VmListPoller {
	static create(options: VmListPollerOptions): VmListPoller {
		return new VmListPoller(options);
	}

	readonly #stopped = new AbortController();
	#lastVms = '';
	#changedMs: Ms;
	#isReachable = true;

	private constructor(private readonly options: VmListPollerOptions) {
		this.#changedMs = options.clock.now();
	}

	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #run(): Promise<void> {
		const {clock, random, intervals = defaultIntervals} = this.options;
		while (!this.#stopped.signal.aborted) {
			await this.#poll();
			const isQuiet = this.#isReachable && clock.now() - this.#changedMs >= intervals.quietAfterMs;
			const interval = isQuiet ? intervals.quietMs : intervals.busyMs;
			await clock.sleep(interval * (0.75 + (random.float() / 2)), this.#stopped.signal);
		}
	}

	async #poll(): Promise<void> {
		const {clock, vmList, logger, onList} = this.options;
		try {
			const snapshot = await vmList.list();
			const text = JSON.stringify(snapshot.vms);
			if (text !== this.#lastVms) {
				this.#lastVms = text;
				this.#changedMs = clock.now();
			}

			this.#isReachable = true;
			if (!this.#stopped.signal.aborted) {
				onList(snapshot);
			}
		} catch (err) {
			if (this.#isReachable) {
				logger.warn('Cannot read the VM list; using the last snapshot.', {error: errorMessage(err)});
			}

			this.#isReachable = false;
		}
	}
}
