import type {Clock, Ms} from '../clock/index.js';
import type {BatchWriter} from './batch-writer.js';
import type {ClaimRecord} from './claim-record.js';

const retryMs: Ms = 200;
/** Nobody waits for these records, and they join the claims that come meanwhile; a crash in this time loses an outcome. */
const lingerMs: Ms = 25;
const drainPollMs: Ms = 10;

/**
 * Releases and outcomes on their way to the log. They are appended again until they are in: the fold ignores copies.
 *
 * @internal
 */
export class OpenWrites {
	static create(parts: {clock: Clock; writer: BatchWriter}): OpenWrites {
		return new OpenWrites(parts.clock, parts.writer);
	}

	readonly #stopped = new AbortController();
	#open = 0;

	private constructor(private readonly clock: Clock, private readonly writer: BatchWriter) {}

	/** Appends the record until the log has taken it, or `isOpen` says that it is of no use any more. */
	write(record: ClaimRecord, options: {isOpen: () => boolean; onEnd?: () => void}): void {
		void this.#write(record, options);
	}

	/** Resolves when every record is in the log, or after `boundMs`. */
	async drain(boundMs: Ms): Promise<void> {
		const end = this.clock.now() + boundMs;
		while (this.#open > 0 && this.clock.now() < end) {
			await this.clock.sleep(drainPollMs);
		}
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #write(record: ClaimRecord, {isOpen, onEnd}: {isOpen: () => boolean; onEnd?: () => void}): Promise<void> {
		this.#open++;
		while (!this.#stopped.signal.aborted && isOpen()) {
			const result = await this.writer.append(record, lingerMs).result;
			if (result === 'appended') {
				break;
			}

			await this.clock.sleep(retryMs, this.#stopped.signal);
		}

		this.#open--;
		if (!isOpen()) {
			onEnd?.();
		}
	}
}
