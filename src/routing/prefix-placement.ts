import {rankByRendezvous} from '../links/rendezvous.js';
import type {Prefix} from './prefix-names.js';

/** Segments of at least this many tokens are taken for material that prompts share; shorter ones are mostly questions. */
const minSharedTokens = 512;
/** Rankings remembered; hashing a key with every engine of a large pool takes about a millisecond. */
const maxRemembered = 512;

/** Where one prefix belongs. */
export interface PlacedPrefix {
	/** Tokens up to the end of the shared material. */
	readonly tokens: number;
	/** Place of each engine in the order for this prefix; 0 is its home. */
	readonly rank: ReadonlyMap<string, number>;
}

/**
 * Ranks the engines of a pool for the shared material of a prompt by rendezvous hashing, so that entry VMs that know
 * nothing of each other send the same material to the same engine and each cache holds another part of it.
 *
 * @example
 * const placement = PrefixPlacement.create();
 * placement.of(prefixes, ['engine-1', 'engine-2'])?.rank.get('engine-1');
 */
export class PrefixPlacement {
	static create(): PrefixPlacement {
		return new PrefixPlacement();
	}

	readonly #known = new Map<string, ReadonlyMap<string, number>>();

	private constructor() {}

	/** Returns the order of the engines for a prompt, or `undefined` when it holds no long segment. */
	of(prefixes: readonly Prefix[], engines: readonly string[]): PlacedPrefix | undefined {
		const last = prefixes.findLastIndex(prefix => prefix.tokens >= minSharedTokens);
		if (last === -1) {
			return undefined;
		}

		let tokens = 0;
		for (const prefix of prefixes.slice(0, last + 1)) {
			tokens += prefix.tokens;
		}

		return {tokens, rank: this.#rank(prefixes[last]!.name, engines)};
	}

	#rank(key: string, engines: readonly string[]): ReadonlyMap<string, number> {
		const known = this.#known.get(key);
		if (known?.size === engines.length && engines.every(engine => known.has(engine))) {
			return known;
		}

		const rank = new Map(rankByRendezvous(key, engines).map((engine, index) => [engine, index]));
		this.#known.delete(key);
		this.#known.set(key, rank);
		if (this.#known.size > maxRemembered) {
			this.#known.delete(this.#known.keys().next().value!);
		}

		return rank;
	}
}
