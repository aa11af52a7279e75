import {rankByRendezvous} from './rendezvous.js';

/** Rankings remembered. */
const maxRanks = 2000;

/**
 * Remembers rankings by rendezvous hashing: hashing a key with every name costs more than the rest of a choice.
 *
 * @example
 * const [home] = ranks.of('prompt 5c1e07a2', engines);
 */
export class RankCache {
	static create(): RankCache {
		return new RankCache();
	}

	readonly #ranks = new Map<string, readonly string[]>();

	private constructor() {}

	/** Names in their order for a key; the same names have to come in the same order. */
	of(key: string, names: readonly string[]): readonly string[] {
		const cacheKey = `${key} ${names.join(' ')}`;
		let rank = this.#ranks.get(cacheKey);
		if (!rank) {
			rank = rankByRendezvous(key, names);
			if (this.#ranks.size >= maxRanks) {
				this.#ranks.clear();
			}

			this.#ranks.set(cacheKey, rank);
		}

		return rank;
	}
}
