import type {Clock, Ms} from '../clock/index.js';
import {errorMessage, GuavamillError} from '../errors/index.js';
import type {PartLogger} from '../logs/index.js';
import type {LogRecord, PlatformLog} from '../log/index.js';
import type {ClaimTable} from './claim-table.js';
import {ClaimsFollowerLifecycle, type ClaimsFollowerEvent, type ClaimsFollowerState} from './claims-follower-lifecycle.js';
import type {ClaimFold} from './fold-claims.js';

const pollWaitMs: Ms = 1000;
const retryMs: Ms = 100;
/** Every entry VM reads every record; reading them in groups spares the log while no own claim is awaited. */
const idlePaceMs: Ms = 20;

/** A folded record. `trusted` is false when records before it were lost to a gap; a claim must not win by it then. */
export interface FoldedClaim extends ClaimFold {
	readonly logged: LogRecord;
	readonly trusted: boolean;
}

/** Parts of a follower. */
export interface ClaimsFollowerParts {
	readonly clock: Clock;
	readonly log: PlatformLog;
	readonly logger: PartLogger;
	readonly table: ClaimTable;
	/** True while a record is awaited that this process appended. */
	readonly isUrgent?: () => boolean;
}

/**
 * Follows the stream `claims` into a table, forward only.
 *
 * Gap: records below the log's earliest offset are older than the log's retention, and a key lives at most half of the
 * retention after its claim, so their keys had expired when the gap was read. A claim appended after that read cannot
 * meet an unreadable earlier claim. A claim appended before it can, when this process was paused: it is not trusted.
 *
 * @example
 * const follower = ClaimsFollower.create({clock, log, logger, table: ClaimTable.create()});
 * follower.start();
 */
export class ClaimsFollower {
	static create(parts: ClaimsFollowerParts): ClaimsFollower {
		return new ClaimsFollower(parts);
	}

	readonly #lifecycle = ClaimsFollowerLifecycle.create();
	readonly #stopped = new AbortController();
	readonly #foldListeners = new Set<(folded: FoldedClaim) => void>();
	readonly #stateListeners = new Set<(state: ClaimsFollowerState) => void>();
	#pauseEnd = new AbortController();
	#untrustedBelow = 0;
	#freshAt: Ms | undefined;

	private constructor(private readonly parts: ClaimsFollowerParts) {}

	get state(): ClaimsFollowerState {
		return this.#lifecycle.state;
	}

	/** Age of what this process knows, in ms: time since the start of the last read that reached the end. */
	get ageMs(): Ms {
		return this.#freshAt === undefined ? Number.POSITIVE_INFINITY : this.parts.clock.now() - this.#freshAt;
	}

	/** Tells every folded record, in order. */
	onFold(listener: (folded: FoldedClaim) => void): void {
		this.#foldListeners.add(listener);
	}

	/** Tells every change of state. */
	onState(listener: (state: ClaimsFollowerState) => void): void {
		this.#stateListeners.add(listener);
	}

	start(): void {
		void this.#follow();
	}

	/** Ends a pause between reads: a record is now awaited. */
	readNow(): void {
		this.#pauseEnd.abort();
	}

	stop(): void {
		this.#send({type: 'STOP'});
		this.readNow();
		this.#stopped.abort();
	}

	async #follow(): Promise<void> {
		const {clock, logger} = this.parts;
		while (!this.#stopped.signal.aborted) {
			try {
				await this.#readPage();
				await this.#pause();
			} catch (err) {
				if (this.#send({type: 'FAILED'})) {
					logger.warn('Cannot read the claims.', {error: errorMessage(err)});
				}

				await clock.sleep(retryMs, this.#stopped.signal);
			}
		}
	}

	async #pause(): Promise<void> {
		const {clock, isUrgent} = this.parts;
		if (this.state === 'following' && isUrgent && !isUrgent()) {
			this.#pauseEnd = new AbortController();
			await clock.sleep(idlePaceMs, this.#pauseEnd.signal);
		}
	}

	async #readPage(): Promise<void> {
		const {clock, log, table, logger} = this.parts;
		const from = table.offset + 1;
		const startedAt = clock.now();
		// The first read after a failure must not wait: its answer ends the outage.
		const waitMs = this.state === 'following' ? pollWaitMs : 0;
		const page = await log.read('claims', from, {waitMs, signal: this.#stopped.signal});
		if (page.next < from) {
			throw new GuavamillError(`Cannot follow the claims: the log ends at ${page.next}, ${from} was expected`);
		}

		if (page.earliest > from) {
			if (from > 0) {
				logger.warn('Records of the claims expired unread.', {from, earliest: page.earliest});
			}

			this.#untrustedBelow = page.next;
			table.skipTo(page.earliest - 1);
		}

		for (const logged of page.records) {
			const folded = {...table.apply(logged), logged, trusted: logged.offset >= this.#untrustedBelow};
			for (const listener of this.#foldListeners) {
				listener(folded);
			}
		}

		if (table.offset + 1 >= page.next) {
			this.#freshAt = startedAt;
			this.#send({type: 'CAUGHT_UP'});
		}
	}

	#send(event: ClaimsFollowerEvent): boolean {
		const isChanged = this.#lifecycle.send(event);
		if (isChanged) {
			for (const listener of this.#stateListeners) {
				listener(this.state);
			}
		}

		return isChanged;
	}
}
