import type {CacheEvent, TargetView} from '../targets/index.js';
import type {Prefix} from './prefix-hasher.js';

/** Default maximum number of prefixes per engine; the least recently confirmed are removed first. */
const defaultCapacity = 4096;
/**
 * Default maximum number of prefixes of all engines together, which take about 20 MB of memory. Beyond it, the engine that
 * gains a prefix loses its least recently confirmed one.
 */
const defaultTotalCapacity = 100_000;
/** Fraction of lost events assumed to be evictions: a full cache evicts about one entry for each one that it stores. */
const evictionFraction = 0.5;

/** The part of a target that identifies an engine. */
type EngineRef = Pick<TargetView, 'name' | 'pool'>;

/**
 * Cached prefixes of one engine. `entries` maps a prefix hash to the value of `lostEvents` when the entry was last
 * confirmed; an entry with a smaller value than the current one may have been evicted without notice.
 */
type EngineEntries = {name: string; pool: string; startId: string | undefined; sequence: number | undefined; lostEvents: number; entries: Map<string, number>};

/**
 * Estimated contents of each engine's prefix cache, built from this entry VM's dispatches and corrected by cache events.
 *
 * @example
 * const index = PrefixIndex.create();
 * index.recordDispatch(target, prefixes);
 * index.uncachedTokens(target.name, prefixes); // 0
 */
export class PrefixIndex {
	/** Creates an index of at most `capacity` prefixes per engine and `totalCapacity` prefixes in total. */
	static create({capacity = defaultCapacity, totalCapacity = defaultTotalCapacity}: {capacity?: number; totalCapacity?: number} = {}): PrefixIndex {
		return new PrefixIndex(capacity, totalCapacity);
	}

	readonly #engines = new Map<string, EngineEntries>();
	/** Names of the engines that cache a prefix, by pool and prefix hash. */
	readonly #enginesByPrefix = new Map<string, Map<string, Set<string>>>();
	#totalEntries = 0;

	private constructor(private readonly capacity: number, private readonly totalCapacity: number) {}

	/** Records that a prompt was sent to an engine, which caches its prefixes. */
	recordDispatch(target: EngineRef & Pick<TargetView, 'startId'>, prefixes: readonly Prefix[]): void {
		const engine = this.#engineEntries(target, target.startId);
		for (const prefix of prefixes) {
			this.#addEntry(engine, prefix.hash);
		}
	}

	/**
	 * Applies cache events of an engine, which must be in sequence order; duplicates are ignored. A gap in the sequence
	 * makes all existing entries uncertain in proportion to the number of lost events; a new start id removes them. Events
	 * before the first one received are older than the entries and do not count as lost.
	 */
	applyEvents(target: EngineRef, startId: string, events: readonly CacheEvent[]): void {
		const engine = this.#engineEntries(target, startId);
		for (const event of events) {
			if (engine.sequence !== undefined && event.sequence <= engine.sequence) {
				continue;
			}

			engine.lostEvents += event.sequence - (engine.sequence ?? event.sequence - 1) - 1;
			engine.sequence = event.sequence;
			if (event.type === 'stored') {
				this.#addEntry(engine, event.prefix);
			} else {
				this.#removeEntry(engine, event.prefix);
			}
		}
	}

	/** Sequence of the last event applied for an engine; 0 before the first. */
	lastSequence(target: string): number {
		return this.#engines.get(target)?.sequence ?? 0;
	}

	/**
	 * Expected number of prompt tokens that the engine has to prefill. Prefixes in the index count by the probability that
	 * their eviction was missed.
	 */
	uncachedTokens(target: string, prefixes: readonly Prefix[]): number {
		const engine = this.#engines.get(target);
		let uncachedTokens = 0;
		let isCached = engine !== undefined;
		for (const prefix of prefixes) {
			const lostAtConfirmation = isCached ? engine!.entries.get(prefix.hash) : undefined;
			isCached = lostAtConfirmation !== undefined;
			uncachedTokens += lostAtConfirmation === undefined ? prefix.tokens : prefix.tokens * evictionProbability(engine!, lostAtConfirmation);
		}

		return uncachedTokens;
	}

	/** Number of prompt tokens that no engine of the pool has cached: the estimate before an engine is chosen. */
	minUncachedTokens(pool: string, prefixes: readonly Prefix[]): number {
		const enginesByPrefix = this.#enginesByPrefix.get(pool);
		let uncachedTokens = 0;
		let isCached = true;
		for (const prefix of prefixes) {
			isCached &&= enginesByPrefix?.has(prefix.hash) ?? false;
			uncachedTokens += isCached ? 0 : prefix.tokens;
		}

		return uncachedTokens;
	}

	/** Names of the pool's engines that have cached the longest prefix of a prompt among all engines of the pool. */
	enginesWithLongestPrefix(pool: string, prefixes: readonly Prefix[]): ReadonlySet<string> {
		const enginesByPrefix = this.#enginesByPrefix.get(pool);
		let longest: ReadonlySet<string> = new Set();
		for (const prefix of prefixes) {
			const names = enginesByPrefix?.get(prefix.hash);
			if (!names) {
				break;
			}

			longest = names;
		}

		return longest;
	}

	/** Number of prefixes in the index for an engine. */
	size(target: string): number {
		return this.#engines.get(target)?.entries.size ?? 0;
	}

	/** Removes all engines for which `isKnown` returns false. */
	retain(isKnown: (target: string) => boolean): void {
		for (const target of this.#engines.keys()) {
			if (!isKnown(target)) {
				this.remove(target);
			}
		}
	}

	/** Removes an engine and its prefixes. */
	remove(target: string): void {
		const engine = this.#engines.get(target);
		if (!engine) {
			return;
		}

		for (const hash of engine.entries.keys()) {
			this.#removeEntry(engine, hash);
		}

		this.#engines.delete(target);
	}

	/** Returns the entries of an engine; replaces them with an empty set when its start id changed. */
	#engineEntries(target: EngineRef, startId: string | undefined): EngineEntries {
		const existing = this.#engines.get(target.name);
		if (existing && (startId === undefined || existing.startId === undefined || existing.startId === startId)) {
			existing.startId ??= startId;
			return existing;
		}

		this.remove(target.name);
		const engine: EngineEntries = {
			name: target.name, pool: target.pool.name, startId, sequence: undefined, lostEvents: 0, entries: new Map(),
		};
		this.#engines.set(target.name, engine);
		return engine;
	}

	#addEntry(engine: EngineEntries, hash: string): void {
		const isNew = !engine.entries.delete(hash);
		engine.entries.set(hash, engine.lostEvents);
		if (!isNew) {
			return;
		}

		const enginesByPrefix = this.#enginesByPrefix.get(engine.pool) ?? new Map<string, Set<string>>();
		this.#enginesByPrefix.set(engine.pool, enginesByPrefix);
		const names = enginesByPrefix.get(hash) ?? new Set<string>();
		enginesByPrefix.set(hash, names);
		names.add(engine.name);
		this.#totalEntries++;
		if (engine.entries.size > this.capacity || this.#totalEntries > this.totalCapacity) {
			this.#removeEntry(engine, engine.entries.keys().next().value!);
		}
	}

	#removeEntry(engine: EngineEntries, hash: string): void {
		if (!engine.entries.delete(hash)) {
			return;
		}

		this.#totalEntries--;
		const enginesByPrefix = this.#enginesByPrefix.get(engine.pool)!;
		const names = enginesByPrefix.get(hash)!;
		names.delete(engine.name);
		if (names.size === 0) {
			enginesByPrefix.delete(hash);
		}
	}
}

/**
 * Probability that one of the events lost since an entry was confirmed evicted it, assuming that all entries are equally
 * likely to be evicted.
 */
function evictionProbability({lostEvents, entries}: EngineEntries, lostAtConfirmation: number): number {
	return lostEvents === lostAtConfirmation ? 0 : 1 - ((1 - (evictionFraction / entries.size)) ** (lostEvents - lostAtConfirmation));
}
