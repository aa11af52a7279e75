import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logs/index.js';
import type {VmList, VmSnapshot} from '../vms/index.js';
import type {Random} from '../random/index.js';

/** Interval while the list changes, and before its first answer. */
const busyPollMs: Ms = 1000;
/** Interval once it has stayed the same: links find lost peers sooner, and the whole list costs bytes each time. */
const quietPollMs: Ms = 15_000;
const quietAfterMs: Ms = 20_000;
const usualIntervals = {busyMs: busyPollMs, quietMs: quietPollMs, quietAfterMs};

/** Parts of a follower of the VM list. */
export interface VmListFollowerOptions {
	readonly clock: Clock;
	readonly random: Random;
	readonly vmList: VmList;
	readonly logger: PartLogger;
	readonly onList: (snapshot: VmSnapshot) => void;
	/** Intervals other than the usual ones, where reading the list costs more or less. */
	readonly intervals?: {readonly busyMs: Ms; readonly quietMs: Ms; readonly quietAfterMs: Ms};
}

/**
 * Polls the platform's VM list, often while it changes. During an outage nothing is reported, so the last list stays
 * in force.
 *
 * @internal
 */
export class VmListFollower {
	static create(options: VmListFollowerOptions): VmListFollower {
		return new VmListFollower(options);
	}

	readonly #stopped = new AbortController();
	#last = '';
	#changedMs: Ms;
	#isReachable = true;

	private constructor(private readonly options: VmListFollowerOptions) {
		this.#changedMs = options.clock.now();
	}

	start(): void {
		void this.#follow();
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #follow(): Promise<void> {
		const {clock, random, intervals = usualIntervals} = this.options;
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
			if (text !== this.#last) {
				this.#last = text;
				this.#changedMs = clock.now();
			}

			this.#isReachable = true;
			if (!this.#stopped.signal.aborted) {
				onList(snapshot);
			}
		} catch (err) {
			if (this.#isReachable) {
				logger.warn('Cannot read the VM list; the last one stays in force.', {error: errorMessage(err)});
			}

			this.#isReachable = false;
		}
	}
}
