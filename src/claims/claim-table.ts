import {Buffer} from 'node:buffer';
import type {Ms} from '../clock/index.js';
import type {LogRecord} from '../log/index.js';
import {foldClaims, type ClaimEntry, type ClaimFold} from './fold-claims.js';

/** An outcome stays readable this long after its key's not-after time, for callers that retry late. */
const defaultMarginMs: Ms = 60_000;
/** Answers beyond this size are dropped, oldest first; the memory of an entry VM is limited to 64 MB. */
const defaultMaxAnswerBytes = 16 * 1024 * 1024;
const bucketMs: Ms = 1000;

/**
 * Entries of the stream `claims` within their keys' lifetime. Folds forward only; time is the log's own.
 *
 * @example
 * const table = ClaimTable.create();
 * table.apply(logged).verdict; // 'won'
 */
export class ClaimTable {
	static create(options: {marginMs?: Ms; maxAnswerBytes?: number} = {}): ClaimTable {
		return new ClaimTable(options.marginMs ?? defaultMarginMs, options.maxAnswerBytes ?? defaultMaxAnswerBytes);
	}

	readonly #entries = new Map<string, ClaimEntry>();
	/** Keys by the bucket of time in which they are dropped. */
	readonly #buckets = new Map<number, string[]>();
	/** Size of each held answer by key, oldest first. */
	readonly #answers = new Map<string, number>();
	#answerBytes = 0;
	#offset = -1;
	#logTimeMs: Ms = 0;

	private constructor(private readonly marginMs: Ms, private readonly maxAnswerBytes: number) {}

	/** Number of keys held. */
	get size(): number {
		return this.#entries.size;
	}

	/** Bytes of the answers held. */
	get answerBytes(): number {
		return this.#answerBytes;
	}

	/** Offset of the last record folded; -1 before the first. */
	get offset(): number {
		return this.#offset;
	}

	/** Latest log time seen, in ms since 1970. */
	get logTimeMs(): Ms {
		return this.#logTimeMs;
	}

	get(key: string): ClaimEntry | undefined {
		return this.#entries.get(key);
	}

	/** Folds the next record; a record at or below the present offset is ignored. */
	apply(logged: LogRecord): ClaimFold {
		if (logged.offset <= this.#offset) {
			return {verdict: 'ignored', entry: undefined};
		}

		const fold = foldClaims({get: key => this.#entries.get(key), logTimeMs: this.#logTimeMs}, logged);
		this.#offset = logged.offset;
		if (fold.record) {
			this.#put(fold.record.key, fold);
		}

		this.#moveTo(logged.atMs);
		return fold;
	}

	/** Moves past records that can no longer be read. */
	skipTo(offset: number): void {
		this.#offset = Math.max(this.#offset, offset);
	}

	#put(key: string, {verdict, entry}: ClaimFold): void {
		if (verdict === 'released') {
			this.#entries.delete(key);
		} else if (entry && (verdict === 'won' || verdict === 'settled')) {
			this.#entries.set(key, entry);
			if (verdict === 'won') {
				this.#dropLater(key, entry.notAfterMs);
			} else if (entry.answer !== undefined) {
				this.#keepAnswer(key, Buffer.byteLength(entry.answer));
			}
		}
	}

	#dropLater(key: string, notAfterMs: Ms): void {
		const bucket = Math.ceil((notAfterMs + this.marginMs) / bucketMs);
		const keys = this.#buckets.get(bucket);
		if (keys) {
			keys.push(key);
		} else {
			this.#buckets.set(bucket, [key]);
		}
	}

	#keepAnswer(key: string, bytes: number): void {
		this.#answers.set(key, bytes);
		this.#answerBytes += bytes;
		for (const oldest of this.#answers.keys()) {
			if (this.#answerBytes <= this.maxAnswerBytes) {
				break;
			}

			this.#forgetAnswer(oldest);
			const {answer: _, ...rest} = this.#entries.get(oldest)!;
			this.#entries.set(oldest, rest);
		}
	}

	#forgetAnswer(key: string): void {
		this.#answerBytes -= this.#answers.get(key) ?? 0;
		this.#answers.delete(key);
	}

	/** Drops the entries whose time has passed: none of their keys can win any more. */
	#moveTo(atMs: Ms): void {
		const isNewBucket = Math.floor(atMs / bucketMs) > Math.floor(this.#logTimeMs / bucketMs);
		this.#logTimeMs = Math.max(this.#logTimeMs, atMs);
		if (!isNewBucket) {
			return;
		}

		for (const [bucket, keys] of this.#buckets) {
			if (bucket * bucketMs < this.#logTimeMs) {
				this.#buckets.delete(bucket);
				for (const key of keys) {
					this.#entries.delete(key);
					this.#forgetAnswer(key);
				}
			}
		}
	}
}
