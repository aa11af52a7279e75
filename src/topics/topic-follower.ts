import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import type {KeyedRecord, KeyedSnapshot, KeyedTopic} from './keyed-topic.js';

/** Delay before retrying after a failed read. */
const retryDelayMs: Ms = 200;

/** Dependencies and listeners of a `TopicFollower`. */
export interface TopicFollowerOptions {
	/** Name of the topic in log messages. */
	readonly name: string;
	readonly topic: KeyedTopic;
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Delay between successful reads. */
	readonly pollMs: Ms;
	/** Long-poll timeout: the time for which the store may hold a read until a record is available. */
	readonly waitMs: Ms;
	/** Called with the whole content of the topic at the start, and again if the store no longer has the next offset. */
	readonly onSnapshot: (snapshot: KeyedSnapshot) => void;
	readonly onRecords: (records: readonly KeyedRecord[]) => void;
	/** Called when the store responds again after an outage of `outageMs`. */
	readonly onRecovered?: (outageMs: Ms) => void;
}

/**
 * Follows a keyed topic, starting with a snapshot of its newest records. During an outage no listener is called;
 * afterwards reading continues at the same offset, or with a new snapshot if the store no longer has that offset.
 *
 * @example
 * TopicFollower.create({name: 'targets', topic, pollMs: 1000, waitMs: 0, …}).start();
 */
export class TopicFollower {
	static create(options: TopicFollowerOptions): TopicFollower {
		return new TopicFollower(options);
	}

	readonly #stopped = new AbortController();
	#nextOffset: number | undefined;
	#lastResponseMs: Ms;
	#isReachable = true;

	private constructor(private readonly options: TopicFollowerOptions) {
		this.#lastResponseMs = options.clock.now();
	}

	/** Offset of the next record; -1 before the first snapshot. */
	get offset(): number {
		return this.#nextOffset ?? -1;
	}

	/** Time since the last response from the store. */
	get ageMs(): Ms {
		return this.options.clock.now() - this.#lastResponseMs;
	}

	start(): void {
		void this.#follow();
	}

	stop(): void {
		this.#stopped.abort();
	}

	async #follow(): Promise<void> {
		const {clock, pollMs} = this.options;
		while (!this.#stopped.signal.aborted) {
			const isSuccess = await this.#readOnce();
			const pauseMs = isSuccess ? pollMs : retryDelayMs;
			if (pauseMs > 0) {
				await clock.sleep(pauseMs, this.#stopped.signal);
			}
		}
	}

	async #readOnce(): Promise<boolean> {
		const {name, topic, logger, waitMs, onRecords, onSnapshot} = this.options;
		try {
			if (this.#nextOffset === undefined) {
				const snapshot = await topic.newest();
				this.#recordResponse();
				this.#nextOffset = snapshot.end;
				logger.info('Read a snapshot of a topic.', {topic: name, records: snapshot.records.length, offset: snapshot.end});
				onSnapshot(snapshot);
				return true;
			}

			const page = await topic.read(this.#nextOffset, waitMs);
			this.#recordResponse();
			if (page.kind === 'expired') {
				logger.warn('Cannot continue reading a topic: the store does not have its next offset. Reading a new snapshot.', {topic: name, offset: this.#nextOffset});
				this.#nextOffset = undefined;
				return true;
			}

			this.#nextOffset = page.next;
			if (page.records.length > 0) {
				onRecords(page.records);
			}

			return true;
		} catch (err) {
			if (this.#isReachable) {
				logger.warn('Lost the store.', {topic: name, error: errorMessage(err)});
			}

			this.#isReachable = false;
			return false;
		}
	}

	#recordResponse(): void {
		const {name, logger, onRecovered} = this.options;
		const outageMs = this.ageMs;
		this.#lastResponseMs = this.options.clock.now();
		if (!this.#isReachable) {
			this.#isReachable = true;
			logger.info('Regained the store.', {topic: name, outage_ms: Math.round(outageMs)});
			onRecovered?.(outageMs);
		}
	}
}
