import type {Clock, Ms} from '../clock/index.js';
import {LogUnavailableError, type LogStream, type PlatformLog} from '../platform/index.js';

/** Records that arrive within this time share one append. */
const defaultLingerMs: Ms = 2;
/** Bounds the appends of one process: the log takes several hundred a second in all. */
const defaultMaxInFlight = 4;
const maxBatchRecords = 256;
const maxBatchBytes = 1024 * 1024;
const maxQueuedRecords = 10_000;

/** Result of an append: `refused` was certainly not appended, `unanswered` may be appended, now or later. */
export type AppendResult = 'appended' | 'refused' | 'unanswered';

/** A record on its way. `cancel` takes it back while it is still queued; it is then `refused`. */
export interface QueuedAppend {
	readonly result: Promise<AppendResult>;
	cancel(): void;
}

type Item = {readonly record: unknown; readonly bytes: number; readonly resolve: (result: AppendResult) => void};

/**
 * Appends records to a stream in batches.
 *
 * @example
 * const writer = BatchWriter.create({clock, log, stream: 'claims'});
 * await writer.append(record).result; // 'appended'
 */
export class BatchWriter {
	static create(options: {clock: Clock; log: PlatformLog; stream: LogStream; lingerMs?: Ms; maxInFlight?: number}): BatchWriter {
		return new BatchWriter(options);
	}

	readonly #queue: Item[] = [];
	#inFlight = 0;
	#isScheduled = false;
	#appends = 0;

	private constructor(private readonly options: {clock: Clock; log: PlatformLog; stream: LogStream; lingerMs?: Ms; maxInFlight?: number}) {}

	/** Append calls made. */
	get appends(): number {
		return this.#appends;
	}

	append(record: unknown): QueuedAppend {
		let item: Item | undefined;
		const result = new Promise<AppendResult>(resolve => {
			if (this.#queue.length >= maxQueuedRecords) {
				resolve('refused');
				return;
			}

			item = {record, bytes: JSON.stringify(record).length, resolve};
			this.#queue.push(item);
			this.#schedule();
		});
		return {
			result,
			cancel: () => {
				const index = item ? this.#queue.indexOf(item) : -1;
				if (index >= 0) {
					this.#queue.splice(index, 1);
					item!.resolve('refused');
				}
			},
		};
	}

	#schedule(): void {
		if (this.#isScheduled || this.#queue.length === 0 || this.#inFlight >= (this.options.maxInFlight ?? defaultMaxInFlight)) {
			return;
		}

		this.#isScheduled = true;
		this.options.clock.after(this.options.lingerMs ?? defaultLingerMs, () => {
			this.#isScheduled = false;
			void this.#flush();
		});
	}

	async #flush(): Promise<void> {
		const batch = this.#take();
		if (batch.length === 0) {
			return;
		}

		this.#inFlight++;
		this.#appends++;
		this.#schedule();
		let result: AppendResult = 'appended';
		try {
			await this.options.log.append(this.options.stream, batch.map(item => item.record));
		} catch (err) {
			result = err instanceof LogUnavailableError ? 'refused' : 'unanswered';
		}

		this.#inFlight--;
		for (const item of batch) {
			item.resolve(result);
		}

		this.#schedule();
	}

	#take(): Item[] {
		let count = 0;
		let bytes = 0;
		while (count < this.#queue.length && count < maxBatchRecords && (count === 0 || bytes + this.#queue[count]!.bytes <= maxBatchBytes)) {
			bytes += this.#queue[count]!.bytes;
			count++;
		}

		return this.#queue.splice(0, count);
	}
}
