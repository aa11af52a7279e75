import {createHash} from 'node:crypto';
import type {PromptSegment} from '../targets/index.js';

/** Tokenizers of engines produce about one token per four characters. */
const charactersPerToken = 4;
/** Length in characters of a truncated prefix hash. */
const hashLength = 16;

/**
 * A prefix of a prompt: all segments up to and including one. `hash` identifies the prefix in cache events; `tokens`
 * counts the last segment only.
 */
export interface Prefix {
	readonly hash: string;
	readonly tokens: number;
}

/** Estimates the number of tokens in a text. */
export function estimateTokens(text: string): number {
	return Math.ceil(text.length / charactersPerToken);
}

/**
 * Computes the prefix hashes that engines publish in their cache events. Hashes are cached per segment object, because
 * admission, every stage and every attempt of a request process the same segments.
 *
 * @example
 * const hasher = PrefixHasher.create();
 * hasher.prefixesOf([{id: 'system', text: 'You cut dies.'}]);
 */
export class PrefixHasher {
	static create(): PrefixHasher {
		return new PrefixHasher();
	}

	readonly #cache = new WeakMap<PromptSegment, {previous: string; prefix: Prefix}>();

	private constructor() {}

	/** Returns the prefixes of a prompt, shortest first. */
	prefixesOf(prompt: readonly PromptSegment[]): Prefix[] {
		let previous = '';
		return prompt.map(segment => {
			const prefix = this.#prefix(previous, segment);
			previous = prefix.hash;
			return prefix;
		});
	}

	#prefix(previous: string, segment: PromptSegment): Prefix {
		const cached = this.#cache.get(segment);
		if (cached?.previous === previous) {
			return cached.prefix;
		}

		const hash = createHash('sha256').update(`${previous}\u0000${segment.id}\u0000${segment.text}`).digest('base64url').slice(0, hashLength);
		const prefix = {hash, tokens: estimateTokens(segment.text)};
		this.#cache.set(segment, {previous, prefix});
		return prefix;
	}
}
