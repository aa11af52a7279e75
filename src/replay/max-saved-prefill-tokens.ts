import type {DeclarationSet} from '../config/index.js';
import {estimateTokens, PrefixCache} from '../stand-ins/prefix-cache.js';
import type {PromptSegment} from '../targets/index.js';

/**
 * Returns an upper bound on the prefill tokens that prefix caching can save on these prompts. It models each pool as
 * a single cache with the combined capacity of the engines, so that no prefix is stored twice. @internal
 */
export function maxSavedPrefillTokens(prompts: ReadonlyArray<{pool: string; prompt: readonly PromptSegment[]}>, declarations: DeclarationSet, cacheTokens: number): number {
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
