import {createHash} from 'node:crypto';

/** A change of the cache. */
export interface CacheChange {
	readonly type: 'stored' | 'evicted';
	readonly prefix: string;
	readonly tokens: number;
}

/** Estimated tokens of a text: one for four characters. */
export function estimateTokens(text: string): number {
	return Math.ceil(text.length / 4);
}

/**
 * Prefix cache of bounded size with least-recently-used eviction. A prefix is named by the hash of all segments up to it.
 *
 * @internal
 */
export class PrefixCache {
	static create(capacityTokens: number): PrefixCache {
		return new PrefixCache(capacityTokens);
	}

	readonly #entries = new Map<string, number>();
	#used = 0;

	private constructor(private readonly capacityTokens: number) {}

	/** Uses the longest cached prefix, stores the others; returns the uncached tokens and the changes. */
	use(segments: ReadonlyArray<{id: string; text: string}>): {uncached: number; changes: CacheChange[]} {
		const changes: CacheChange[] = [];
		let uncached = 0;
		let hash = '';
		for (const segment of segments) {
			hash = createHash('sha256').update(`${hash}\u0000${segment.id}\u0000${segment.text}`).digest('base64url').slice(0, 16);
			const tokens = estimateTokens(segment.text);
			if (this.#entries.has(hash) && uncached === 0) {
				this.#touch(hash);
				continue;
			}

			uncached += tokens;
			this.#store(hash, tokens, changes);
		}

		return {uncached, changes};
	}

	#touch(hash: string): void {
		const tokens = this.#entries.get(hash)!;
		this.#entries.delete(hash);
		this.#entries.set(hash, tokens);
	}

	#store(hash: string, tokens: number, changes: CacheChange[]): void {
		if (tokens > this.capacityTokens || this.#entries.has(hash)) {
			return;
		}

		for (const [oldest, size] of this.#entries) {
			if (this.#used + tokens <= this.capacityTokens) {
				break;
			}

			this.#entries.delete(oldest);
			this.#used -= size;
			changes.push({type: 'evicted', prefix: oldest, tokens: size});
		}

		this.#entries.set(hash, tokens);
		this.#used += tokens;
		changes.push({type: 'stored', prefix: hash, tokens});
	}
}
