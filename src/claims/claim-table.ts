import {Buffer} from 'node:buffer';
import type {Ms} from '../clock/index.js';
import type {LogRecord} from '../platform-log/index.js';
import {foldClaims, type ClaimEntry, type ClaimFoldResult} from './fold-claims.js';

/** Time for which an outcome is kept after its key's not-after time, for callers that retry late. */
const defaultMarginMs: Ms = 60_000;
/** Limit on the total size of stored answers, beyond which the oldest are evicted; an entry VM has 64 MB of memory. */
const defaultMaxAnswerBytes = 16 * 1024 * 1024;
/** Width of the time buckets in which entries expire together. */
const expiryBucketMs: Ms = 1000;

/**
 * Entries of the keys in the stream `claims` that have not expired. Records are applied in log order, each once; expiry
 * uses the timestamps of the log, not the local clock.
 *
 * @example
 * const table = ClaimTable.create();
 * table.apply(logRecord).verdict; // 'won'
 */
export class ClaimTable {
	static create(options: {marginMs?: Ms; maxAnswerBytes?: number} = {}): ClaimTable {
		return new ClaimTable(options.marginMs ?? defaultMarginMs, options.maxAnswerBytes ?? defaultMaxAnswerBytes);
	}

	readonly #entries = new Map<string, ClaimEntry>();
	/** Keys by the time bucket in which they expire. */
	readonly #expiryBuckets = new Map<number, string[]>();
	/** Size of each stored answer in bytes, by key, oldest first. */
	readonly #answerSizes = new Map<string, number>();
	#answerBytes = 0;
	#offset = -1;
	#logTimeMs: Ms = 0;

	private constructor(private readonly marginMs: Ms, private readonly maxAnswerBytes: number) {}

	/** Number of keys held. */
	get size(): number {
		return this.#entries.size;
	}

	/** Total size of the stored answers, in bytes. */
	get answerBytes(): number {
		return this.#answerBytes;
	}

	/** Offset of the last record applied; -1 before the first. */
	get offset(): number {
		return this.#offset;
	}

	/** Latest timestamp of the log seen, in ms since 1970. */
	get logTimeMs(): Ms {
		return this.#logTimeMs;
	}

	get(key: string): ClaimEntry | undefined {
		return this.#entries.get(key);
	}

	/** Applies the next record; a record at or below the current offset is ignored. */
	apply(logRecord: LogRecord): ClaimFoldResult {
		if (logRecord.offset <= this.#offset) {
			return {verdict: 'ignored', entry: undefined};
		}

		const result = foldClaims({get: key => this.#entries.get(key), logTimeMs: this.#logTimeMs}, logRecord);
		this.#offset = logRecord.offset;
		if (result.record) {
			this.#updateEntry(result.record.key, result);
		}

		this.#advanceTo(logRecord.atMs);
		return result;
	}

	/** Skips the records up to and including `offset`, which can no longer be read. */
	skipTo(offset: number): void {
		this.#offset = Math.max(this.#offset, offset);
	}

	#updateEntry(key: string, {verdict, entry}: ClaimFoldResult): void {
		if (verdict === 'released') {
			this.#entries.delete(key);
		} else if (entry && (verdict === 'won' || verdict === 'settled')) {
			this.#entries.set(key, entry);
			if (verdict === 'won') {
				this.#scheduleExpiry(key, entry.notAfterMs);
			} else if (entry.answer !== undefined) {
				this.#trackAnswerSize(key, Buffer.byteLength(entry.answer));
			}
		}
	}

	#scheduleExpiry(key: string, notAfterMs: Ms): void {
		const bucket = Math.ceil((notAfterMs + this.marginMs) / expiryBucketMs);
		const keys = this.#expiryBuckets.get(bucket);
		if (keys) {
			keys.push(key);
		} else {
			this.#expiryBuckets.set(bucket, [key]);
		}
	}

	/** Counts a stored answer, and evicts the oldest answers beyond the limit. */
	#trackAnswerSize(key: string, bytes: number): void {
		this.#answerSizes.set(key, bytes);
		this.#answerBytes += bytes;
		for (const oldest of this.#answerSizes.keys()) {
			if (this.#answerBytes <= this.maxAnswerBytes) {
				break;
			}

			this.#untrackAnswerSize(oldest);
			const {answer: _, ...rest} = this.#entries.get(oldest)!;
			this.#entries.set(oldest, rest);
		}
	}

	#untrackAnswerSize(key: string): void {
		this.#answerBytes -= this.#answerSizes.get(key) ?? 0;
		this.#answerSizes.delete(key);
	}

	/** Advances the log time and removes the expired entries; no claim on their keys can win any more. */
	#advanceTo(atMs: Ms): void {
		const isNewBucket = Math.floor(atMs / expiryBucketMs) > Math.floor(this.#logTimeMs / expiryBucketMs);
		this.#logTimeMs = Math.max(this.#logTimeMs, atMs);
		if (!isNewBucket) {
			return;
		}

		for (const [bucket, keys] of this.#expiryBuckets) {
			if (bucket * expiryBucketMs < this.#logTimeMs) {
				this.#expiryBuckets.delete(bucket);
				for (const key of keys) {
					this.#entries.delete(key);
					this.#untrackAnswerSize(key);
				}
			}
		}
	}
}
