import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {RelayTarget} from '../registry/index.js';

/**
 * Interval at which the health path of a target is read. In the time until a cold phase is seen, the target gets what it
 * got as a warm one: an engine with 64 slots and requests of 2 s about 16 requests.
 */
const intervalMs: Ms = 500;
/** Number of entry VMs that watch a target, so that one of them may be lost. */
const watchersPerTarget = 2;

/** How a target responds on its health path, and for how much longer it says that it is cold. */
export interface TargetHealth {
	readonly result: 'alive' | 'silent' | 'gone';
	/** `undefined` if it says nothing. */
	readonly coldMs: Ms | undefined;
	/** Time for which it asks for no requests; absent if it does not ask for it, NaN if it cannot be read. */
	readonly retryAfterMs?: Ms | undefined;
}

/** Dependencies of {@link ColdWatch}. */
export interface ColdWatchOptions {
	readonly clock: Clock;
	readonly self: string;
	/** Targets that may become cold and take requests. */
	readonly targets: () => readonly RelayTarget[];
	/** Returns the names of the entry VMs that may watch the targets of a zone: those in it, or this one if it decides about a zone without any. */
	readonly watchersOf: (zone: string) => readonly string[];
	/** Ranks names for a key, identically on every entry VM. */
	readonly rank: (key: string, names: readonly string[]) => readonly string[];
	/** Whether a target is watched by this entry VM in any case. */
	readonly isWatched: (target: RelayTarget) => boolean;
	/** Resolves with what the health path of a target says; never rejects. */
	readonly checkHealth: (target: RelayTarget) => Promise<TargetHealth>;
	/** Called with the time at which the target was asked. */
	readonly onHealth: (target: RelayTarget, health: TargetHealth, askedMs: Ms) => void;
}

/**
 * Reads the health paths of targets that may become cold at any moment, which their entries tell too late. Two entry VMs of
 * its zone watch each target.
 *
 * @example
 * const watch = ColdWatch.create(options);
 * watch.start();
 */
export class ColdWatch {
	static create(options: ColdWatchOptions): ColdWatch {
		return new ColdWatch(options);
	}

	#cancel: CancelTimer = () => undefined;
	readonly #checking = new Set<RelayTarget>();

	private constructor(private readonly options: ColdWatchOptions) {}

	/** Starts to watch. */
	start(): void {
		this.#cancel = this.options.clock.after(intervalMs, () => {
			this.start();
			this.check();
		});
	}

	/** Asks the targets that this entry VM watches, also between two intervals: after all entries were read, there may be old ones among them. */
	check(): void {
		for (const target of this.options.targets()) {
			if (!this.#checking.has(target) && (this.options.isWatched(target) || this.#isWatcher(target))) {
				void this.#check(target);
			}
		}
	}

	/** Stops watching. */
	close(): void {
		this.#cancel();
	}

	#isWatcher({id, entry: {zone}}: RelayTarget): boolean {
		const {self, watchersOf, rank} = this.options;
		const names = watchersOf(zone);
		return names.includes(self) && (names.length <= watchersPerTarget || rank(`cold ${id}`, names).slice(0, watchersPerTarget).includes(self));
	}

	async #check(target: RelayTarget): Promise<void> {
		this.#checking.add(target);
		const askedMs = this.options.clock.now();
		const health = await this.options.checkHealth(target);
		this.#checking.delete(target);
		if (!target.isRemoved) {
			this.options.onHealth(target, health, askedMs);
		}
	}
}
