import type {Clock, Ms} from '../clock/index.js';
import {errorMessage, GuavamillError} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import type {LogRecord, PlatformLog} from '../platform-log/index.js';
import type {ClaimTable} from './claim-table.js';
import {ClaimsFollowerLifecycle, type ClaimsFollowerEvent, type ClaimsFollowerState} from './claims-follower-lifecycle.js';
import type {ClaimFoldResult} from './fold-claims.js';

const longPollMs: Ms = 1000;
const retryDelayMs: Ms = 100;
/** Every entry VM reads every record; while none of its own is awaited, spacing the reads reduces the load on the log. */
const idlePollIntervalMs: Ms = 20;

/**
 * Record applied to the table. `trusted` is false when earlier records may have expired unread; a claim must not be
 * treated as won on such a record.
 */
export interface FoldedClaimRecord extends ClaimFoldResult {
	readonly logRecord: LogRecord;
	readonly trusted: boolean;
}

/** Options of a claims follower. */
export interface ClaimsFollowerOptions {
	readonly clock: Clock;
	readonly log: PlatformLog;
	readonly logger: PartLogger;
	readonly table: ClaimTable;
	/** True while the process waits to read back a record that it appended. */
	readonly isReadBackPending?: () => boolean;
}

/**
 * Reads the stream `claims` in order and applies its records to a table.
 *
 * Gaps: records below the log's earliest offset are older than the log's retention, and a key expires at most half of
 * the retention after its claim, so the keys of unreadable records had expired when the gap was read. A claim that is
 * appended after that read therefore cannot conflict with an unreadable earlier claim. A claim that was appended before
 * that read can, if this process was paused between the append and the read: its record is not trusted.
 *
 * @example
 * const follower = ClaimsFollower.create({clock, log, logger, table: ClaimTable.create()});
 * follower.start();
 */
export class ClaimsFollower {
	static create(options: ClaimsFollowerOptions): ClaimsFollower {
		return new ClaimsFollower(options);
	}

	readonly #lifecycle = ClaimsFollowerLifecycle.create();
	readonly #stopped = new AbortController();
	readonly #foldListeners = new Set<(folded: FoldedClaimRecord) => void>();
	readonly #stateListeners = new Set<(state: ClaimsFollowerState) => void>();
	#idleWait = new AbortController();
	#untrustedBelow = 0;
	#caughtUpAt: Ms | undefined;

	private constructor(private readonly options: ClaimsFollowerOptions) {}

	get state(): ClaimsFollowerState {
		return this.#lifecycle.state;
	}

	/** Age of the table, in ms: time since the start of the last read that reached the end of the stream. */
	get ageMs(): Ms {
		return this.#caughtUpAt === undefined ? Number.POSITIVE_INFINITY : this.options.clock.now() - this.#caughtUpAt;
	}

	/** Adds a listener that is called with every applied record, in order. */
	onFold(listener: (folded: FoldedClaimRecord) => void): void {
		this.#foldListeners.add(listener);
	}

	/** Adds a listener that is called on every change of state. */
	onState(listener: (state: ClaimsFollowerState) => void): void {
		this.#stateListeners.add(listener);
	}

	start(): void {
		void this.#run();
	}

	/** Ends the wait between reads, because a record is now awaited. */
	readNow(): void {
		this.#idleWait.abort();
	}

	stop(): void {
		this.#transition({type: 'STOP'});
		this.readNow();
		this.#stopped.abort();
	}

	async #run(): Promise<void> {
		const {clock, logger} = this.options;
		while (!this.#stopped.signal.aborted) {
			try {
				await this.#readPage();
				await this.#waitWhileIdle();
			} catch (err) {
				if (this.#transition({type: 'FAILED'})) {
					logger.warn('Cannot read the claims; rejecting new claims until a read reaches the end of the stream.', {error: errorMessage(err)});
				}

				await clock.sleep(retryDelayMs, this.#stopped.signal);
			}
		}
	}

	async #waitWhileIdle(): Promise<void> {
		const {clock, isReadBackPending} = this.options;
		if (this.state === 'following' && isReadBackPending && !isReadBackPending()) {
			this.#idleWait = new AbortController();
			await clock.sleep(idlePollIntervalMs, this.#idleWait.signal);
		}
	}

	async #readPage(): Promise<void> {
		const {clock, log, table, logger} = this.options;
		const from = table.offset + 1;
		const startedAt = clock.now();
		// Reads wait for new records only while following: after a start or a failure, the first response that reaches the end
		// of the stream makes claims possible again.
		const waitMs = this.state === 'following' ? longPollMs : 0;
		const page = await log.read('claims', from, {waitMs, signal: this.#stopped.signal});
		if (page.next < from) {
			throw new GuavamillError(`Cannot follow the claims: the log ends at offset ${page.next}, expected at least ${from}`);
		}

		if (page.earliest > from) {
			if (from > 0) {
				logger.warn('Claim records expired before they were read.', {from, earliest: page.earliest});
			}

			this.#untrustedBelow = page.next;
			table.skipTo(page.earliest - 1);
		}

		for (const logRecord of page.records) {
			const folded = {...table.apply(logRecord), logRecord, trusted: logRecord.offset >= this.#untrustedBelow};
			for (const listener of this.#foldListeners) {
				listener(folded);
			}
		}

		if (table.offset + 1 >= page.next) {
			this.#caughtUpAt = startedAt;
			this.#transition({type: 'CAUGHT_UP'});
		}
	}

	#transition(event: ClaimsFollowerEvent): boolean {
		const isChanged = this.#lifecycle.send(event);
		if (isChanged) {
			for (const listener of this.#stateListeners) {
				listener(this.state);
			}
		}

		return isChanged;
	}
}
