import type {Ms} from '../clock/index.js';
import type {PromptPart} from './relay-codec.js';

/** Parts remembered for one engine; more do not fit its cache. */
const maxParts = 400;
/** A part not used for this long is taken for evicted. */
const forgetMs: Ms = 30_000;

/**
 * What engines are likely to hold of prompts, from the requests sent to them from here.
 *
 * @example
 * memory.sent('engine-1', prompt.parts, now);
 * memory.heldTokens('engine-1', prompt.parts, now);
 */
export class PromptMemory {
	static create(): PromptMemory {
		return new PromptMemory();
	}

	readonly #engines = new Map<string, Map<string, Ms>>();

	private constructor() {}

	/** The engine reads these parts. */
	sent(engine: string, parts: readonly PromptPart[], now: Ms): void {
		let held = this.#engines.get(engine);
		if (!held) {
			held = new Map();
			this.#engines.set(engine, held);
		}

		for (const key of prefixKeys(parts)) {
			held.delete(key);
			held.set(key, now);
		}

		while (held.size > maxParts) {
			held.delete(held.keys().next().value!);
		}
	}

	/** Tokens at the start of a prompt that the engine is likely to hold. */
	heldTokens(engine: string, parts: readonly PromptPart[], now: Ms): number {
		const held = this.#engines.get(engine);
		let tokens = 0;
		for (const [index, key] of prefixKeys(parts).entries()) {
			const at = held?.get(key);
			if (at === undefined || now - at > forgetMs) {
				break;
			}

			tokens += parts[index]!.tokens;
		}

		return tokens;
	}

	/** Forgets an engine that is gone. */
	forget(engine: string): void {
		this.#engines.delete(engine);
	}
}

function prefixKeys(parts: readonly PromptPart[]): string[] {
	let key = '';
	return parts.map(part => {
		key += `/${part.id}`;
		return key;
	});
}
