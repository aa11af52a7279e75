import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {LogUnavailableError, type LogStream, type PlatformLog} from '../platform-log/index.js';

/** Records that are queued within this time share one append. */
const defaultLingerMs: Ms = 2;
/** Minimum time between appends while one is in flight: records are batched here instead of queueing at the log. */
const busyLingerMs: Ms = 10;
/** Limits the concurrent appends of one process: the log handles several hundred appends per second for all processes. */
const defaultMaxInFlight = 4;
const maxBatchRecords = 256;
/** Limit on the JSON of a batch, in UTF-16 code units; a larger record is appended alone. */
const maxBatchLength = 1024 * 1024;
const maxQueuedRecords = 10_000;

/**
 * Result of an append. `refused`: the record is not in the log and never will be. `unanswered`: it may be appended, now
 * or later.
 */
export type AppendResult = 'appended' | 'refused' | 'unanswered';

/** Append in progress. `cancel` removes the record if it is still queued; its result is then `refused`. */
export interface QueuedAppend {
	readonly result: Promise<AppendResult>;
	cancel(): void;
}

type QueuedRecord = {readonly record: unknown; readonly jsonLength: number; readonly resolve: (result: AppendResult) => void};

/**
 * Appends records to a stream in batches.
 *
 * @example
 * const writer = BatchWriter.create({clock, log, stream: 'claims'});
 * await writer.append(record).result; // 'appended'
 */
export class BatchWriter {
	static create(options: {clock: Clock; log: PlatformLog; stream: LogStream; maxInFlight?: number}): BatchWriter {
		return new BatchWriter(options);
	}

	readonly #queue: QueuedRecord[] = [];
	#inFlight = 0;
	#dueAt: Ms = Number.POSITIVE_INFINITY;
	#flushedAt: Ms = Number.NEGATIVE_INFINITY;
	#timerAt: Ms = Number.POSITIVE_INFINITY;
	#cancelTimer: CancelTimer = () => undefined;
	#appends = 0;

	private constructor(private readonly options: {clock: Clock; log: PlatformLog; stream: LogStream; maxInFlight?: number}) {}

	/** Number of append calls made to the log. */
	get appends(): number {
		return this.#appends;
	}

	/** Queues a record, which waits up to `lingerMs` for others to share its append; refuses it if the queue is full. */
	append(record: unknown, lingerMs: Ms = defaultLingerMs): QueuedAppend {
		let item: QueuedRecord | undefined;
		const result = new Promise<AppendResult>(resolve => {
			if (this.#queue.length >= maxQueuedRecords) {
				resolve('refused');
				return;
			}

			item = {record, jsonLength: JSON.stringify(record).length, resolve};
			this.#queue.push(item);
			this.#dueAt = Math.min(this.#dueAt, this.options.clock.now() + lingerMs);
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
		if (this.#queue.length === 0 || this.#inFlight >= (this.options.maxInFlight ?? defaultMaxInFlight)) {
			return;
		}

		const at = this.#inFlight === 0 ? this.#dueAt : Math.max(this.#dueAt, this.#flushedAt + busyLingerMs);
		if (this.#timerAt <= at) {
			return;
		}

		this.#cancelTimer();
		this.#timerAt = at;
		this.#cancelTimer = this.options.clock.after(at - this.options.clock.now(), () => {
			this.#timerAt = Number.POSITIVE_INFINITY;
			void this.#flush();
		});
	}

	async #flush(): Promise<void> {
		const batch = this.#takeBatch();
		if (batch.length === 0) {
			return;
		}

		this.#flushedAt = this.options.clock.now();
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

	#takeBatch(): QueuedRecord[] {
		let count = 0;
		let length = 0;
		while (count < this.#queue.length && count < maxBatchRecords && (count === 0 || length + this.#queue[count]!.jsonLength <= maxBatchLength)) {
			length += this.#queue[count]!.jsonLength;
			count++;
		}

		const batch = this.#queue.splice(0, count);
		this.#dueAt = this.#queue.length === 0 ? Number.POSITIVE_INFINITY : this.options.clock.now();
		return batch;
	}
}
