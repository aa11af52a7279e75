import type {Clock, Ms} from '../clock/index.js';
import type {Target} from '../targets/index.js';
import type {PrefixIndex} from './prefix-index.js';

/** Interval between polling rounds. */
const pollIntervalMs: Ms = 1000;
/** Engines polled in one round: an entry VM has a few KB/s of bandwidth for its control plane. */
const enginesPerRound = 4;

/** Options of a `CacheEventPoller`. */
export interface CacheEventPollerOptions {
	readonly clock: Clock;
	readonly index: PrefixIndex;
	/** Returns the engines that may receive calls. */
	readonly engines: () => readonly Target[];
}

/**
 * Polls engines in round-robin order for their cache events and applies these to the prefix index. Only engines with
 * entries in the index are polled: events of the others affect decisions too late to be worth their bandwidth.
 *
 * @example
 * const poller = CacheEventPoller.create({clock, index, engines: () => targets.pool('engines')});
 * poller.start();
 */
export class CacheEventPoller {
	static create(options: CacheEventPollerOptions): CacheEventPoller {
		return new CacheEventPoller(options);
	}

	readonly #stopController = new AbortController();
	/** Index of the engine with which the next round begins. */
	#nextIndex = 0;

	private constructor(private readonly options: CacheEventPollerOptions) {}

	/** Polls until `stop` is called. */
	start(): void {
		void this.#run();
	}

	/** Stops polling. */
	stop(): void {
		this.#stopController.abort();
	}

	async #run(): Promise<void> {
		const {signal} = this.#stopController;
		for (;;) {
			await this.options.clock.sleep(pollIntervalMs, signal);
			if (signal.aborted) {
				return;
			}

			await this.#pollRound();
		}
	}

	async #pollRound(): Promise<void> {
		const {index, engines} = this.options;
		const indexed = engines().filter(target => target.engine && index.size(target.name) > 0);
		const count = Math.min(enginesPerRound, indexed.length);
		const chosen = Array.from({length: count}, (_, offset) => indexed[(this.#nextIndex + offset) % indexed.length]!);
		this.#nextIndex = indexed.length === 0 ? 0 : (this.#nextIndex + count) % indexed.length;
		await Promise.all(chosen.map(async target => this.#fetchEvents(target)));
	}

	async #fetchEvents(target: Target): Promise<void> {
		const {index} = this.options;
		try {
			const {startId, events} = await target.engine!.cacheEvents(index.lastSequence(target.name));
			index.applyEvents(target, startId, events);
		} catch {
			// The entries stay unchanged; the next successful poll shows a sequence gap if events were lost.
		}
	}
}
