import type {Clock, Ms} from '../clock/index.js';
import type {Target} from '../targets/index.js';
import type {PrefixIndex} from './prefix-index.js';

/** Time between two rounds. */
const pollMs: Ms = 1000;
/** Engines asked in one round, in turn: an entry VM has a few KB a second for its control plane. */
const enginesPerRound = 4;

/** Parts that a poller works with. */
export interface CacheEventPollerOptions {
	readonly clock: Clock;
	readonly index: PrefixIndex;
	/** Engines that may receive work. */
	readonly engines: () => readonly Target[];
}

/**
 * Asks engines for their cache events and corrects the prefix index. Only engines that the index holds prefixes of are
 * asked: events of others would not change a decision soon enough to be worth their bytes.
 *
 * @example
 * const poller = CacheEventPoller.create({clock, index, engines: () => targets.pool('engines')});
 * poller.start();
 */
export class CacheEventPoller {
	static create(options: CacheEventPollerOptions): CacheEventPoller {
		return new CacheEventPoller(options);
	}

	readonly #stopped = new AbortController();
	#turn = 0;

	private constructor(private readonly options: CacheEventPollerOptions) {}

	/** Polls until `stop` is called. */
	start(): void {
		void this.#run();
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #run(): Promise<void> {
		const {signal} = this.#stopped;
		for (;;) {
			await this.options.clock.sleep(pollMs, signal);
			if (signal.aborted) {
				return;
			}

			await this.#round();
		}
	}

	async #round(): Promise<void> {
		const {index, engines} = this.options;
		const known = engines().filter(target => target.engine && index.size(target.name) > 0);
		const count = Math.min(enginesPerRound, known.length);
		const chosen = Array.from({length: count}, (_, step) => known[(this.#turn + step) % known.length]!);
		this.#turn = known.length === 0 ? 0 : (this.#turn + count) % known.length;
		await Promise.all(chosen.map(async target => this.#ask(target)));
	}

	async #ask(target: Target): Promise<void> {
		const {index} = this.options;
		try {
			const {startId, events} = await target.engine!.cacheEvents(index.lastSequence(target.name));
			index.apply(target, startId, events);
		} catch {
			// The entries stay as they are; the next answer shows a gap if events were lost.
		}
	}
}
