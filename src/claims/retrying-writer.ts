import type {Clock, Ms} from '../clock/index.js';
import type {BatchWriter} from './batch-writer.js';
import type {ClaimRecord} from './claim-record.js';

const retryDelayMs: Ms = 200;
/** No request waits for these records, so they can share an append with later claims; a crash in this time loses them. */
const lingerMs: Ms = 25;
const drainPollMs: Ms = 10;

/**
 * Appends releases and outcomes to the log, and retries until they are appended. Duplicates are harmless, because the
 * fold ignores them.
 *
 * @internal
 */
export class RetryingWriter {
	static create(options: {clock: Clock; writer: BatchWriter}): RetryingWriter {
		return new RetryingWriter(options.clock, options.writer);
	}

	readonly #stopped = new AbortController();
	#pendingCount = 0;

	private constructor(private readonly clock: Clock, private readonly writer: BatchWriter) {}

	/**
	 * Appends the record, and retries until it succeeds or `isNeeded` returns false. `onObsolete` is called if the record
	 * is no longer needed when writing ends.
	 */
	write(record: ClaimRecord, options: {isNeeded: () => boolean; onObsolete?: () => void}): void {
		void this.#write(record, options);
	}

	/** Resolves when every record is appended or no longer needed, or after `timeoutMs`. */
	async drain(timeoutMs: Ms): Promise<void> {
		const endAt = this.clock.now() + timeoutMs;
		while (this.#pendingCount > 0 && this.clock.now() < endAt) {
			await this.clock.sleep(drainPollMs);
		}
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #write(record: ClaimRecord, {isNeeded, onObsolete}: {isNeeded: () => boolean; onObsolete?: () => void}): Promise<void> {
		this.#pendingCount++;
		while (!this.#stopped.signal.aborted && isNeeded()) {
			const result = await this.writer.append(record, lingerMs).result;
			if (result === 'appended') {
				break;
			}

			await this.clock.sleep(retryDelayMs, this.#stopped.signal);
		}

		this.#pendingCount--;
		if (!isNeeded()) {
			onObsolete?.();
		}
	}
}
