import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logs/index.js';
import type {KeyedRecord, KeyedSnapshot, KeyedTopic} from './keyed-topic.js';

/** Pause after a call that failed. */
const retryMs: Ms = 200;

/** Parts and listeners of a follower. */
export interface TopicFollowerOptions {
	readonly name: string;
	readonly topic: KeyedTopic;
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Pause between two reads. */
	readonly pollMs: Ms;
	/** Time for which the store holds a read back until there is a record. */
	readonly waitMs: Ms;
	/** Told the whole content, at the start and after records were lost. */
	readonly onSnapshot: (snapshot: KeyedSnapshot) => void;
	readonly onRecords: (records: readonly KeyedRecord[]) => void;
	/** Told that the store answers again after `outageMs` without. */
	readonly onRegained?: (outageMs: Ms) => void;
}

/**
 * Follows a keyed topic from its newest records on. During an outage nothing is reported; afterwards reading goes on
 * at the same offset, or with a new snapshot where the store has dropped records.
 *
 * @example
 * TopicFollower.create({name: 'targets', topic, pollMs: 1000, waitMs: 0, …}).start();
 */
export class TopicFollower {
	static create(options: TopicFollowerOptions): TopicFollower {
		return new TopicFollower(options);
	}

	readonly #stopped = new AbortController();
	#next: number | undefined;
	#answeredMs: Ms;
	#isReachable = true;

	private constructor(private readonly options: TopicFollowerOptions) {
		this.#answeredMs = options.clock.now();
	}

	/** Offset of the next record; -1 before the first snapshot. */
	get offset(): number {
		return this.#next ?? -1;
	}

	/** Time since the store last answered. */
	get ageMs(): Ms {
		return this.options.clock.now() - this.#answeredMs;
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
			const isAnswered = await this.#step();
			const pause = isAnswered ? pollMs : retryMs;
			if (pause > 0) {
				await clock.sleep(pause, this.#stopped.signal);
			}
		}
	}

	async #step(): Promise<boolean> {
		const {name, topic, logger, waitMs, onRecords, onSnapshot} = this.options;
		try {
			if (this.#next === undefined) {
				const snapshot = await topic.newest();
				this.#answered();
				this.#next = snapshot.end;
				logger.info('Read a topic from its newest records.', {topic: name, records: snapshot.records.length, offset: snapshot.end});
				onSnapshot(snapshot);
				return true;
			}

			const page = await topic.read(this.#next, waitMs);
			this.#answered();
			if (page.kind === 'expired') {
				logger.warn('Lost records of a topic; reading its newest ones.', {topic: name, offset: this.#next});
				this.#next = undefined;
				return true;
			}

			this.#next = page.next;
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

	#answered(): void {
		const {name, logger, onRegained} = this.options;
		const outageMs = this.ageMs;
		this.#answeredMs = this.options.clock.now();
		if (!this.#isReachable) {
			this.#isReachable = true;
			logger.info('Regained the store.', {topic: name, outage_ms: Math.round(outageMs)});
			onRegained?.(outageMs);
		}
	}
}
