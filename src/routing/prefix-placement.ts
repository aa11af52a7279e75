import {rankByRendezvous} from '../links/rendezvous.js';
import type {Prefix} from './prefix-hasher.js';

/** Minimum length of a segment that is assumed to be shared by prompts; shorter segments are mostly questions. */
const minSharedSegmentTokens = 512;
/** Rankings are cached because hashing a key with every engine of a large pool takes about 1 ms. */
const maxCachedRankings = 512;

/** Ranking of a pool's engines for one shared prefix. */
export interface PrefixRanking {
	/** Tokens up to the end of the shared prefix. */
	readonly sharedTokens: number;
	/** Rank of each engine for this prefix; 0 is the preferred engine. */
	readonly rank: ReadonlyMap<string, number>;
}

/**
 * Ranks the engines of a pool for the shared prefix of a prompt by rendezvous hashing. Entry VMs thereby send the same
 * prefix to the same engine without coordination, and each engine caches a different set of prefixes.
 *
 * @example
 * const placement = PrefixPlacement.create();
 * placement.rank(prefixes, ['engine-1', 'engine-2'])?.rank.get('engine-1');
 */
export class PrefixPlacement {
	static create(): PrefixPlacement {
		return new PrefixPlacement();
	}

	readonly #rankings = new Map<string, ReadonlyMap<string, number>>();

	private constructor() {}

	/** Returns the ranking of the engines for a prompt, or `undefined` when the prompt has no shared segment. */
	rank(prefixes: readonly Prefix[], engines: readonly string[]): PrefixRanking | undefined {
		const last = prefixes.findLastIndex(prefix => prefix.tokens >= minSharedSegmentTokens);
		if (last === -1) {
			return undefined;
		}

		let sharedTokens = 0;
		for (const prefix of prefixes.slice(0, last + 1)) {
			sharedTokens += prefix.tokens;
		}

		return {sharedTokens, rank: this.#rank(prefixes[last]!.hash, engines)};
	}

	#rank(key: string, engines: readonly string[]): ReadonlyMap<string, number> {
		const cached = this.#rankings.get(key);
		if (cached?.size === engines.length && engines.every(engine => cached.has(engine))) {
			return cached;
		}

		const rank = new Map(rankByRendezvous(key, engines).map((engine, index) => [engine, index]));
		this.#rankings.delete(key);
		this.#rankings.set(key, rank);
		if (this.#rankings.size > maxCachedRankings) {
			this.#rankings.delete(this.#rankings.keys().next().value!);
		}

		return rank;
	}
}
