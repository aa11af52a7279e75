import type {Ms} from '../clock/index.js';
import type {PromptPart} from './relay-codec.js';

/** Maximum number of prompt parts tracked per engine; an engine's cache does not hold more. */
const maxPartsPerEngine = 400;
/** Time without use after which a part is assumed to be evicted from the engine's cache. */
const partTtlMs: Ms = 30_000;

/** Keys of the prefixes of prompts, which are the same for all engines and all choices of a request. */
const keysOfParts = new WeakMap<readonly PromptPart[], readonly number[]>();

/**
 * Estimates which prompt prefixes engines have cached, from the requests that this entry VM has sent to them.
 *
 * @example
 * tracker.recordRequest('engine-1', prompt.parts, now);
 * tracker.cachedTokens('engine-1', prompt.parts, now);
 */
export class PrefixCacheTracker {
	static create(): PrefixCacheTracker {
		return new PrefixCacheTracker();
	}

	/** Times of the last use by key of the prefix. */
	readonly #engines = new Map<string, Map<number, Ms>>();

	private constructor() {}

	/** Records that an engine prefills a prompt with these parts. */
	recordRequest(engine: string, parts: readonly PromptPart[], now: Ms): void {
		let lastUsed = this.#engines.get(engine);
		if (!lastUsed) {
			lastUsed = new Map();
			this.#engines.set(engine, lastUsed);
		}

		for (const key of prefixKeys(parts)) {
			lastUsed.delete(key);
			lastUsed.set(key, now);
		}

		while (lastUsed.size > maxPartsPerEngine) {
			lastUsed.delete(lastUsed.keys().next().value!);
		}
	}

	/** Returns the number of leading prompt tokens that the engine is likely to have cached. */
	cachedTokens(engine: string, parts: readonly PromptPart[], now: Ms): number {
		const lastUsed = this.#engines.get(engine);
		if (!lastUsed) {
			return 0;
		}

		let tokens = 0;
		for (const [index, key] of prefixKeys(parts).entries()) {
			const lastUsedMs = lastUsed.get(key);
			if (lastUsedMs === undefined || now - lastUsedMs > partTtlMs) {
				break;
			}

			tokens += parts[index]!.tokens;
		}

		return tokens;
	}

	/** Discards the state of an engine that is draining or was removed. */
	removeEngine(engine: string): void {
		this.#engines.delete(engine);
	}
}

/**
 * Returns a number for each prefix, of 53 bits: the texts of all prefixes of a long prompt would take the square of its
 * length. Equal numbers of different prefixes only make an estimate wrong.
 */
function prefixKeys(parts: readonly PromptPart[]): readonly number[] {
	let keys = keysOfParts.get(parts);
	if (!keys) {
		keys = hashPrefixes(parts);
		keysOfParts.set(parts, keys);
	}

	return keys;
}

function hashPrefixes(parts: readonly PromptPart[]): readonly number[] {
	let [low, high] = [0xDE_AD_BE_EF, 0x41_C6_CE_57];
	const keys: number[] = [];
	for (const part of parts) {
		for (const char of `/${part.id}`) {
			const code = char.codePointAt(0)!;
			low = Math.imul(low ^ code, 2_654_435_761);
			high = Math.imul(high ^ code, 1_597_334_677);
			low = (low << 13) | (low >>> 19);
		}

		keys.push(((high >>> 0) % (2 ** 21) * (2 ** 32)) + (low >>> 0));
	}

	return keys;
}
