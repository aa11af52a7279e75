import {createHash} from 'node:crypto';

/** Prefix that was stored in or evicted from a cache. `tokens` counts its last segment only. */
export interface CacheChange {
	readonly type: 'stored' | 'evicted';
	readonly prefix: string;
	readonly tokens: number;
}

/** Estimates the number of tokens in a text: one token per four characters. */
export function estimateTokens(text: string): number {
	return Math.ceil(text.length / 4);
}

/**
 * Prefix cache of bounded size with least-recently-used eviction. A prefix is identified by the chained hash of all
 * segments up to and including its last one.
 *
 * @internal
 */
export class PrefixCache {
	static create(capacityTokens: number): PrefixCache {
		return new PrefixCache(capacityTokens);
	}

	readonly #tokensByPrefix = new Map<string, number>();
	#usedTokens = 0;

	private constructor(private readonly capacityTokens: number) {}

	/**
	 * Reads the longest cached prefix of a prompt and stores the longer prefixes. Returns the number of tokens after the
	 * cached prefix, and the changes of the cache.
	 */
	use(segments: ReadonlyArray<{id: string; text: string}>): {uncached: number; changes: CacheChange[]} {
		const changes: CacheChange[] = [];
		let uncached = 0;
		let hash = '';
		for (const segment of segments) {
			hash = createHash('sha256').update(`${hash}\u0000${segment.id}\u0000${segment.text}`).digest('base64url').slice(0, 16);
			const tokens = estimateTokens(segment.text);
			if (this.#tokensByPrefix.has(hash) && uncached === 0) {
				this.#touch(hash);
				continue;
			}

			uncached += tokens;
			this.#store(hash, tokens, changes);
		}

		return {uncached, changes};
	}

	#touch(hash: string): void {
		const tokens = this.#tokensByPrefix.get(hash)!;
		this.#tokensByPrefix.delete(hash);
		this.#tokensByPrefix.set(hash, tokens);
	}

	#store(hash: string, tokens: number, changes: CacheChange[]): void {
		if (tokens > this.capacityTokens || this.#tokensByPrefix.has(hash)) {
			return;
		}

		for (const [oldestPrefix, oldestTokens] of this.#tokensByPrefix) {
			if (this.#usedTokens + tokens <= this.capacityTokens) {
				break;
			}

			this.#tokensByPrefix.delete(oldestPrefix);
			this.#usedTokens -= oldestTokens;
			changes.push({type: 'evicted', prefix: oldestPrefix, tokens: oldestTokens});
		}

		this.#tokensByPrefix.set(hash, tokens);
		this.#usedTokens += tokens;
		changes.push({type: 'stored', prefix: hash, tokens});
	}
}
