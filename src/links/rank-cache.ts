import {rankByRendezvous} from './rendezvous.js';

/** Maximum number of cached rankings, and of those of one array of names; a few of these arrays are in use. */
const maxRankings = 2000;
const maxRankingsOfArray = 250;

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
	/** Rankings by array and key: joining the names of many engines costs more than the rest of the choice of one. */
	readonly #byNames = new WeakMap<readonly string[], Map<string, readonly string[]>>();

	private constructor() {}

	/** Returns the names ranked for a key. The cache is hit if the same names come in the same order, sooner if in the same array; arrays must not be changed. */
	of(key: string, names: readonly string[]): readonly string[] {
		const rank = this.#byNames.get(names)?.get(key);
		if (rank) {
			return rank;
		}

		const byKey = this.#byNames.get(names) ?? new Map<string, readonly string[]>();
		this.#byNames.set(names, byKey);
		if (byKey.size >= maxRankingsOfArray) {
			byKey.clear();
		}

		const found = this.#find(key, names);
		byKey.set(key, found);
		return found;
	}

	#find(key: string, names: readonly string[]): readonly string[] {
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
