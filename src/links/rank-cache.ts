import {rankByRendezvous} from './rendezvous.js';

/** Maximum number of cached rankings. */
const maxRankings = 2000;

/**
 * Caches rankings by rendezvous hashing: hashing a key with every name costs more than the rest of a routing decision.
 *
 * @example
 * const [home] = ranks.of('prompt 5c1e07a2', engines);
 */
export class RankCache {
	static create(): RankCache {
		return new RankCache();
	}

	readonly #rankings = new Map<string, readonly string[]>();

	private constructor() {}

	/** Returns the names ranked for a key. The cache is hit only if the same names come in the same order. */
	of(key: string, names: readonly string[]): readonly string[] {
		const cacheKey = `${key} ${names.join(' ')}`;
		let rank = this.#rankings.get(cacheKey);
		if (!rank) {
			rank = rankByRendezvous(key, names);
			if (this.#rankings.size >= maxRankings) {
				this.#rankings.clear();
			}

			this.#rankings.set(cacheKey, rank);
		}

		return rank;
	}
}
