import {createHash} from 'node:crypto';
import type {PromptSegment} from '../targets/index.js';

/** Engines count about one token for four characters. */
const charsPerToken = 4;
const nameLength = 16;

/** One prefix of a prompt: everything up to and including a segment. `tokens` counts that segment alone. */
export interface Prefix {
	readonly name: string;
	readonly tokens: number;
}

/** Returns the estimated number of tokens of a text. */
export function estimateTokens(text: string): number {
	return Math.ceil(text.length / charsPerToken);
}

/**
 * Names the prefixes of prompts as engines publish them. Hashes are kept per segment object, because the same segments
 * pass through admission, every stage and every attempt of a request.
 *
 * @example
 * const names = PrefixNames.create();
 * names.of([{id: 'system', text: 'You cut dies.'}]);
 */
export class PrefixNames {
	static create(): PrefixNames {
		return new PrefixNames();
	}

	readonly #known = new WeakMap<PromptSegment, {previous: string; prefix: Prefix}>();

	private constructor() {}

	/** Prefixes of a prompt, shortest first. */
	of(prompt: readonly PromptSegment[]): Prefix[] {
		let previous = '';
		return prompt.map(segment => {
			const prefix = this.#prefix(previous, segment);
			previous = prefix.name;
			return prefix;
		});
	}

	#prefix(previous: string, segment: PromptSegment): Prefix {
		const known = this.#known.get(segment);
		if (known?.previous === previous) {
			return known.prefix;
		}

		const name = createHash('sha256').update(`${previous}\u0000${segment.id}\u0000${segment.text}`).digest('base64url').slice(0, nameLength);
		const prefix = {name, tokens: estimateTokens(segment.text)};
		this.#known.set(segment, {previous, prefix});
		return prefix;
	}
}
