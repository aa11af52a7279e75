import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import type {
	KeyedPage, KeyedRecord, KeyedSnapshot, KeyedTopic,
} from './keyed-topic.js';

/** Delay before retrying after a failed read; doubles with each further failure up to the maximum. */
const initialRetryDelayMs: Ms = 200;
const maxRetryDelayMs: Ms = 800;
/** Maximum delay at a follower that gets news from a peer, which tells it when the store is back. */
const maxFedRetryDelayMs: Ms = 3200;
/** Maximum pause between reads of a topic to which records are added all the time. */
const maxBusyPauseMs: Ms = 1600;
/** Time beyond the peer's read interval after which missing news are read from the store. */
const newsSlackMs: Ms = 700;

/** Records that a follower has read, to be passed on to the followers of peers. */
export interface TopicNews {
	/** Era of the history that the offsets belong to. */
	readonly era: number;
	/** Offset after the records that the receiver must have for the news to be complete. */
	readonly from: number;
	/** Offset after the news. */
	readonly next: number;
	readonly records: readonly KeyedRecord[];
	/** Length of the store outage that the read ended; 0 without one. */
	readonly outageMs: Ms;
}

/**
 * Whether a snapshot follows on what the follower knew (`continued`) or is of a store that came back from an older copy
 * (`restored`): it may then lack what is known and hold what is known to be over.
 */
export type SnapshotOrigin = 'continued' | 'restored';

/** Dependencies and listeners of a `TopicFollower`. */
export interface TopicFollowerOptions {
	/** Name of the topic in log messages. */
	readonly name: string;
	readonly topic: KeyedTopic;
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Delay between successful reads. With long polls, it doubles up to a maximum while each of them brings records at once. */
	readonly pollMs: Ms;
	/** Long-poll timeout: the time for which the store may hold a read until a record is available. */
	readonly waitMs: Ms;
	/** Called with the whole content of the topic at the start, and again if the store no longer has the next offset. */
	readonly onSnapshot: (snapshot: KeyedSnapshot, origin: SnapshotOrigin) => void;
	readonly onRecords: (records: readonly KeyedRecord[]) => void;
	/** Called when the store responds again after an outage of `outageMs`. */
	readonly onRecovered?: (outageMs: Ms) => void;
	/** Whether a peer is expected to pass news on; retries are then less frequent. */
	readonly hasFeeder?: () => boolean;
}

/** Offset in one history of a topic. */
type Position = {readonly era: number; readonly offset: number};

/**
 * Follows a keyed topic, starting with a snapshot of its newest records. During an outage no listener is called;
 * afterwards reading continues at the same offset, or with a new snapshot if the store no longer has that offset or has
 * come back from an older copy: the offset then belongs to a lost history, even if the store has it again.
 * While a peer passes on the news that it reads, the follower does not read the store itself.
 *
 * @example
 * TopicFollower.create({name: 'targets', topic, pollMs: 1000, waitMs: 0, …}).start();
 */
export class TopicFollower {
	static create(options: TopicFollowerOptions): TopicFollower {
		return new TopicFollower(options);
	}

	readonly #listeners: Array<(news: TopicNews) => void> = [];
	#isStopped = false;
	/** Ends the current pause of the read loop. */
	#wake = new AbortController();
	/** Position of the next record; `undefined` while a snapshot is needed. */
	#position: Position | undefined;
	/** Era of the latest snapshot. */
	#snapshotEra: number | undefined;
	#lastResponseMs: Ms;
	#isReachable = true;
	#failureCount = 0;
	/** Number of successive reads that brought records. */
	#busyCount = 0;
	/** Time until which news of a peer replace reads. */
	#fedUntilMs: Ms = -Infinity;

	private constructor(private readonly options: TopicFollowerOptions) {
		this.#lastResponseMs = options.clock.now();
	}

	/** Offset of the next record; -1 before the first snapshot. */
	get offset(): number {
		return this.#position?.offset ?? -1;
	}

	/** Time since the last response from the store, its own or one that a peer passed on. */
	get ageMs(): Ms {
		return this.options.clock.now() - this.#lastResponseMs;
	}

	start(): void {
		void this.#follow();
	}

	stop(): void {
		this.#isStopped = true;
		this.#wake.abort();
	}

	/** Calls `listener` after each read of this follower, also without records, and before its records are applied. */
	onRead(listener: (news: TopicNews) => void): void {
		this.#listeners.push(listener);
	}

	/**
	 * Applies news that a peer has read. News that do not continue at the position of this follower make it read the store;
	 * those of an earlier era than its own are left out, since the peer has not heard of the restore yet.
	 */
	receive({era, from, next, records, outageMs}: TopicNews): void {
		const {
			name, clock, logger, pollMs, waitMs, onRecords,
		} = this.options;
		const position = this.#position;
		if (!position || era > position.era || (era === position.era && from > position.offset)) {
			this.#fedUntilMs = -Infinity;
			this.#endPause();
			return;
		}

		if (era < position.era || next < position.offset) {
			logger.info('Left out news of a topic that end before its next offset.', {
				topic: name, from, next, news_era: era, ...position,
			});
			return;
		}

		this.#recordResponse(outageMs);
		this.#fedUntilMs = clock.now() + pollMs + waitMs + newsSlackMs;
		this.#position = {era, offset: next};
		if (next > position.offset && records.length > 0) {
			onRecords(records);
		}
	}

	/** Handles the loss of the peer that passed on news: the follower reads the store again. */
	feederLost(): void {
		if (this.#fedUntilMs > this.options.clock.now()) {
			this.#fedUntilMs = -Infinity;
			this.#endPause();
		}
	}

	async #follow(): Promise<void> {
		const {clock} = this.options;
		while (!this.#isStopped) {
			const fedMs = this.#fedUntilMs - clock.now();
			if (fedMs > 0) {
				await this.#pause(fedMs);
				continue;
			}

			const isSuccess = await this.#readOnce();
			await this.#pause(isSuccess ? this.#pollDelayMs() : this.#retryDelayMs());
		}
	}

	async #pause(delayMs: Ms): Promise<void> {
		if (delayMs > 0 && !this.#isStopped) {
			await this.options.clock.sleep(delayMs, this.#wake.signal);
		}
	}

	#endPause(): void {
		this.#wake.abort();
		this.#wake = new AbortController();
	}

	#pollDelayMs(): Ms {
		const {pollMs, waitMs} = this.options;
		return waitMs === 0 ? pollMs : Math.min(Math.max(pollMs, maxBusyPauseMs), pollMs * (2 ** Math.max(0, this.#busyCount - 1)));
	}

	#retryDelayMs(): Ms {
		const maxMs = this.options.hasFeeder?.() ? maxFedRetryDelayMs : maxRetryDelayMs;
		this.#failureCount++;
		return Math.min(maxMs, initialRetryDelayMs * (2 ** (this.#failureCount - 1)));
	}

	async #readOnce(): Promise<boolean> {
		const {name, topic, logger, waitMs} = this.options;
		try {
			const position = this.#position;
			if (position) {
				const page = await topic.read(position.offset, waitMs);
				if (page.kind === 'records' && page.era === position.era) {
					this.#applyPage(position, page);
					return true;
				}

				// News of a peer may have arrived meanwhile, and then the position that was read does not matter.
				if (this.#position !== position) {
					return true;
				}

				logger.warn('Cannot continue reading a topic: the store does not have its next offset in the same history. Reading a new snapshot.', {topic: name, ...position, store_era: page.era});
				this.#position = undefined;
			}

			this.#applySnapshot(await topic.newest());
			return true;
		} catch (err) {
			if (this.#isReachable && !this.#isStopped) {
				logger.warn('Lost the store.', {topic: name, error: errorMessage(err)});
			}

			this.#isReachable = false;
			return false;
		}
	}

	#applySnapshot(snapshot: KeyedSnapshot): void {
		const {name, logger, onSnapshot} = this.options;
		const {era, end, records} = snapshot;
		const outageMs = this.#recordResponse();
		const origin = this.#snapshotEra === undefined || this.#snapshotEra === era ? 'continued' : 'restored';
		this.#snapshotEra = era;
		this.#position = {era, offset: end};
		logger.info('Read a snapshot of a topic.', {
			topic: name, records: records.length, offset: end, era, origin,
		});
		if (origin === 'restored') {
			// Followers of peers learn of the restore by this, and read the store themselves.
			this.#notify({
				era, from: end, next: end, records: [], outageMs,
			});
		}

		onSnapshot(snapshot, origin);
	}

	/** Applies the records of a page that was read from a position, without those that news of a peer have brought meanwhile. */
	#applyPage(from: Position, {next, records, era}: KeyedPage & {kind: 'records'}): void {
		const outageMs = this.#recordResponse();
		this.#busyCount = records.length > 0 ? this.#busyCount + 1 : 0;
		const {offset} = this.#position!;
		const known = offset - from.offset;
		if (known > records.length) {
			return;
		}

		const unknown = records.slice(known);
		this.#notify({
			era, from: offset, next, records: unknown, outageMs,
		});
		this.#position = {era, offset: next};
		if (unknown.length > 0) {
			this.options.onRecords(unknown);
		}
	}

	#notify(news: TopicNews): void {
		for (const listener of this.#listeners) {
			listener(news);
		}
	}

	/** Records a response and returns the length of the outage that it ended; `peerOutageMs` is that of the peer that read it. */
	#recordResponse(peerOutageMs: Ms = 0): Ms {
		const {name, logger, onRecovered} = this.options;
		const outageMs = this.#isReachable ? peerOutageMs : Math.max(this.ageMs, peerOutageMs);
		this.#lastResponseMs = this.options.clock.now();
		this.#failureCount = 0;
		if (!this.#isReachable || outageMs > 0) {
			this.#isReachable = true;
			logger.info('Regained the store.', {topic: name, outage_ms: Math.round(outageMs)});
			onRecovered?.(outageMs);
		}

		return outageMs;
	}
}
