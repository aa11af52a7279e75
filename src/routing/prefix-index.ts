import type {CacheEvent, TargetView} from '../targets/index.js';
import type {Prefix} from './prefix-names.js';

/** Prefixes remembered per engine; the oldest are forgotten first. */
const defaultCapacity = 4096;
/** Prefixes remembered of all engines together: about 20 MB. */
const defaultTotalCapacity = 100_000;
/** Part of the lost events that were evictions: a full cache evicts about one entry for each that it stores. */
const evictedPart = 0.5;

/** The engine that an entry belongs to. */
type EngineId = Pick<TargetView, 'name' | 'pool'>;

/**
 * Prefixes of one engine with the number of events that had been lost when the entry was last confirmed. Entries
 * confirmed before the latest loss are doubtful.
 */
type EngineEntries = {name: string; pool: string; startId: string | undefined; sequence: number | undefined; lost: number; entries: Map<string, number>};

/**
 * What each engine's prefix cache is thought to hold, learned from own dispatches and corrected by cache events.
 *
 * @example
 * const index = PrefixIndex.create();
 * index.dispatched(target, prefixes);
 * index.uncachedTokens(target.name, prefixes); // 0
 */
export class PrefixIndex {
	/** Creates an index of at most `capacity` prefixes per engine and `totalCapacity` of all engines together. */
	static create({capacity = defaultCapacity, totalCapacity = defaultTotalCapacity}: {capacity?: number; totalCapacity?: number} = {}): PrefixIndex {
		return new PrefixIndex(capacity, totalCapacity);
	}

	readonly #engines = new Map<string, EngineEntries>();
	/** Names of the engines that hold a prefix, by pool. */
	readonly #holders = new Map<string, Map<string, Set<string>>>();
	#total = 0;

	private constructor(private readonly capacity: number, private readonly totalCapacity: number) {}

	/** Records that a prompt was sent to an engine, which then caches it. */
	dispatched(target: EngineId & Pick<TargetView, 'startId'>, prefixes: readonly Prefix[]): void {
		const engine = this.#engine(target, target.startId);
		for (const prefix of prefixes) {
			this.#store(engine, prefix.name);
		}
	}

	/**
	 * Applies events of an engine in order of sequence; repeated ones are ignored. A gap makes all present entries
	 * doubtful by the number of lost events, a new start id clears them. Events before the first known one are older than
	 * the entries, so they do not count as lost.
	 */
	apply(target: EngineId, startId: string, events: readonly CacheEvent[]): void {
		const engine = this.#engine(target, startId);
		for (const event of events) {
			if (engine.sequence !== undefined && event.sequence <= engine.sequence) {
				continue;
			}

			engine.lost += event.sequence - (engine.sequence ?? event.sequence - 1) - 1;
			engine.sequence = event.sequence;
			if (event.type === 'stored') {
				this.#store(engine, event.prefix);
			} else {
				this.#drop(engine, event.prefix);
			}
		}
	}

	/** Sequence after which to ask an engine for events; 0 before the first. */
	lastSequence(target: string): number {
		return this.#engines.get(target)?.sequence ?? 0;
	}

	/** Tokens of a prompt that the engine has to prefill; doubtful prefixes count by the probability that they were evicted. */
	uncachedTokens(target: string, prefixes: readonly Prefix[]): number {
		const engine = this.#engines.get(target);
		let uncached = 0;
		let isHeld = engine !== undefined;
		for (const prefix of prefixes) {
			const lostBefore = isHeld ? engine!.entries.get(prefix.name) : undefined;
			isHeld = lostBefore !== undefined;
			uncached += lostBefore === undefined ? prefix.tokens : prefix.tokens * evictionChance(engine!, lostBefore);
		}

		return uncached;
	}

	/** Tokens of a prompt that no engine of the pool holds; the estimate before an engine is chosen. */
	leastUncachedTokens(pool: string, prefixes: readonly Prefix[]): number {
		const holders = this.#holders.get(pool);
		let uncached = 0;
		let isHeld = true;
		for (const prefix of prefixes) {
			isHeld &&= holders?.has(prefix.name) ?? false;
			uncached += isHeld ? 0 : prefix.tokens;
		}

		return uncached;
	}

	/** Engines of the pool that hold the longest prefix of a prompt that any of them holds. */
	longestHolders(pool: string, prefixes: readonly Prefix[]): ReadonlySet<string> {
		const holders = this.#holders.get(pool);
		let longest: ReadonlySet<string> = new Set();
		for (const prefix of prefixes) {
			const names = holders?.get(prefix.name);
			if (!names) {
				break;
			}

			longest = names;
		}

		return longest;
	}

	/** Prefixes held for an engine. */
	size(target: string): number {
		return this.#engines.get(target)?.entries.size ?? 0;
	}

	/** Forgets the engines that `isKnown` denies. */
	retain(isKnown: (target: string) => boolean): void {
		for (const target of this.#engines.keys()) {
			if (!isKnown(target)) {
				this.forget(target);
			}
		}
	}

	/** Forgets an engine. */
	forget(target: string): void {
		const engine = this.#engines.get(target);
		if (!engine) {
			return;
		}

		for (const name of engine.entries.keys()) {
			this.#drop(engine, name);
		}

		this.#engines.delete(target);
	}

	#engine(target: EngineId, startId: string | undefined): EngineEntries {
		const known = this.#engines.get(target.name);
		if (known && (startId === undefined || known.startId === undefined || known.startId === startId)) {
			known.startId ??= startId;
			return known;
		}

		this.forget(target.name);
		const engine: EngineEntries = {
			name: target.name, pool: target.pool.name, startId, sequence: undefined, lost: 0, entries: new Map(),
		};
		this.#engines.set(target.name, engine);
		return engine;
	}

	#store(engine: EngineEntries, name: string): void {
		const isNew = !engine.entries.delete(name);
		engine.entries.set(name, engine.lost);
		if (!isNew) {
			return;
		}

		const holders = this.#holders.get(engine.pool) ?? new Map<string, Set<string>>();
		this.#holders.set(engine.pool, holders);
		const names = holders.get(name) ?? new Set<string>();
		holders.set(name, names);
		names.add(engine.name);
		this.#total++;
		if (engine.entries.size > this.capacity || this.#total > this.totalCapacity) {
			this.#drop(engine, engine.entries.keys().next().value!);
		}
	}

	#drop(engine: EngineEntries, name: string): void {
		if (!engine.entries.delete(name)) {
			return;
		}

		this.#total--;
		const holders = this.#holders.get(engine.pool)!;
		const names = holders.get(name)!;
		names.delete(engine.name);
		if (names.size === 0) {
			holders.delete(name);
		}
	}
}

/** Probability that one of the events lost since an entry was confirmed evicted it, when each entry is as likely. */
function evictionChance({lost, entries}: EngineEntries, lostBefore: number): number {
	return lost === lostBefore ? 0 : 1 - ((1 - (evictedPart / entries.size)) ** (lost - lostBefore));
}
