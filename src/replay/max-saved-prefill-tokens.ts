import type {DeclarationSet} from '../config/index.js';
import {estimateTokens, PrefixCache} from '../stand-ins/prefix-cache.js';
import type {PromptSegment} from '../targets/index.js';

/**
 * Tokens that an all-knowing router could have saved on the same prompts: it sees one cache per pool, as large as
 * the caches of all its engines together, so that no prefix is held twice. @internal
 */
export function prefillBound(prompts: ReadonlyArray<{pool: string; prompt: readonly PromptSegment[]}>, declarations: DeclarationSet, cacheTokens: number): number {
	const caches = new Map<string, PrefixCache>();
	let saved = 0;
	for (const {pool, prompt} of prompts) {
		let cache = caches.get(pool);
		if (!cache) {
			cache = PrefixCache.create(cacheTokens * declarations.poolTargets(pool).length);
			caches.set(pool, cache);
		}

		const tokens = prompt.reduce((sum, segment) => sum + estimateTokens(segment.text), 0);
		saved += tokens - cache.use(prompt).uncached;
	}

	return saved;
}
