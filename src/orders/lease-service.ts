import {randomUUID} from 'node:crypto';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logging/index.js';
import type {PlatformLog} from '../platform-log/index.js';
import type {Random} from '../random/index.js';
import {foldLeases, type LeaseRecord, type LeaseTable} from './lease-fold.js';
import {nextLeaseState, type LeaseEvent, type LeaseState} from './lease-lifecycle.js';

/** Lifetime of a lease; the lease is renewed when a third of it has passed. */
const defaultTtlMs: Ms = 6000;
/** Maximum wait of a read for new records, and time between checks of whether this process is a candidate. */
const longPollMs: Ms = 1000;
const retryDelayMs: Ms = 300;

/** Options of a lease service. */
export interface LeaseServiceOptions {
	readonly clock: Clock;
	readonly log: PlatformLog;
	readonly events: EventRecorder;
	readonly logger: PartLogger;
	readonly random: Random;
	/** Incarnation of this process. */
	readonly holder: string;
	readonly scope: string;
	readonly ttlMs?: Ms;
	/** Returns whether this process may compete for the lease (default: yes); a process that has it renews it regardless. */
	readonly isCandidate?: () => boolean;
	/** Maximum time for which an order of an earlier holder may still take effect. */
	readonly settleMs: Ms;
}

/**
 * Acquires and renews the lease of a scope through the platform's log. The lease alone does not guarantee a single sender
 * of orders: a paused holder may send an order late. Late orders must therefore be rejected by their fencing token, or be
 * corrected by orders that carry the complete desired state.
 *
 * @example
 * const lease = LeaseService.create({clock, log, events, logger, random, holder, scope: 'orders', settleMs: 5000});
 * lease.start();
 * if (lease.remainingMs() > 1000) { … }
 */
export class LeaseService {
	static create(options: LeaseServiceOptions): LeaseService {
		return new LeaseService(options);
	}

	#table: LeaseTable = new Map();
	#nextOffset = 0;
	#state: LeaseState = 'idle';
	/** Monotonic time until which this process's lease is valid: one lifetime after the append of its record began. */
	#validUntil: Ms = 0;
	/** Monotonic time by which another holder's lease has expired unless it is renewed. */
	#otherLeaseExpiresAt: Ms = 0;
	#lastAppendAt: Ms = Number.NEGATIVE_INFINITY;
	#pendingRecord: {id: string; startedAt: Ms} | undefined;
	#cancelSettleTimer: CancelTimer = () => undefined;
	readonly #stopped = new AbortController();

	private constructor(private readonly options: LeaseServiceOptions) {}

	get state(): LeaseState {
		return this.#state;
	}

	/** Fencing token of this process's term; `undefined` when it may not send orders. */
	get fencing(): number | undefined {
		return this.remainingMs() > 0 ? this.#table.get(this.options.scope)?.fencing : undefined;
	}

	/** Time for which this process may still send orders, in ms; 0 when it may not. */
	remainingMs(): Ms {
		return this.#state === 'holding' ? Math.max(0, this.#validUntil - this.options.clock.now()) : 0;
	}

	start(): void {
		void this.#run();
	}

	/** Stops and releases the lease. */
	stop(): void {
		this.#stopped.abort();
		this.#cancelSettleTimer();
		if (this.#state === 'holding' || this.#state === 'settling') {
			void this.#append({
				kind: 'release', id: randomUUID(), scope: this.options.scope, holder: this.options.holder,
			}).catch(() => undefined);
		}

		this.#transition('LOST', 'stopped');
	}

	async #run(): Promise<void> {
		const {clock, log, logger} = this.options;
		while (!this.#stopped.signal.aborted) {
			if (this.#state === 'idle' && this.options.isCandidate?.() === false) {
				await clock.sleep(longPollMs, this.#stopped.signal);
				continue;
			}

			try {
				const page = await log.read('leases', this.#nextOffset, {waitMs: Math.min(longPollMs, this.#ttlMs / 6), signal: this.#stopped.signal});
				for (const record of page.records) {
					this.#table = foldLeases(this.#table, record);
					this.#updateFromTable();
				}

				this.#nextOffset = page.next;
				await this.#acquireOrRenew();
			} catch (err) {
				logger.debug('Cannot read the leases or append to them.', {error: errorMessage(err)});
				await clock.sleep(retryDelayMs, this.#stopped.signal);
			}

			this.#checkExpiry();
		}
	}

	get #ttlMs(): Ms {
		return this.options.ttlMs ?? defaultTtlMs;
	}

	#updateFromTable(): void {
		const {clock, holder, scope} = this.options;
		const lease = this.#table.get(scope);
		if (!lease) {
			return;
		}

		if (lease.holder !== holder) {
			// The record was appended before it was read, so this time is never too early.
			this.#otherLeaseExpiresAt = clock.now() + this.#ttlMs;
			this.#transition('LOST', `held by ${lease.holder}`);
		} else if (lease.recordId === this.#pendingRecord?.id) {
			this.#validUntil = this.#pendingRecord.startedAt + this.#ttlMs;
			this.#pendingRecord = undefined;
			if (this.#state === 'pending') {
				this.#transition('WON', `fencing ${lease.fencing}`);
				this.#cancelSettleTimer = clock.after(this.options.settleMs, () => {
					this.#transition('SETTLED', `fencing ${lease.fencing}`);
				});
			}
		}
	}

	/** Appends a record that acquires the lease if it appears free, or renews it if this process has it. */
	async #acquireOrRenew(): Promise<void> {
		const {clock, random, holder, scope} = this.options;
		const now = clock.now();
		const isRenewal = this.#state !== 'idle';
		const isDue = isRenewal ? now - this.#lastAppendAt > this.#ttlMs / 3 : now > this.#otherLeaseExpiresAt;
		if (!isDue || this.#stopped.signal.aborted) {
			return;
		}

		if (!isRenewal) {
			// Jitter keeps the candidates from appending at the same time; if some still do, the order in the log decides.
			await clock.sleep(random.float() * this.#ttlMs / 6, this.#stopped.signal);
			const page = await this.options.log.read('leases', this.#nextOffset);
			if (page.next > this.#nextOffset || this.#stopped.signal.aborted) {
				return;
			}
		}

		const id = randomUUID();
		this.#pendingRecord = {id, startedAt: clock.now()};
		this.#lastAppendAt = this.#pendingRecord.startedAt;
		this.#transition('APPENDED', 'candidate');
		await this.#append({
			kind: 'lease', id, scope, holder, ttlMs: this.#ttlMs,
		});
	}

	async #append(record: LeaseRecord): Promise<void> {
		await this.options.log.append('leases', [record]);
	}

	#checkExpiry(): void {
		const now = this.options.clock.now();
		const isExpired = this.#state === 'pending' ? now - this.#lastAppendAt > this.#ttlMs : now > this.#validUntil;
		if (this.#state !== 'idle' && isExpired) {
			this.#transition('EXPIRED', 'not renewed in time');
		}
	}

	#transition(event: LeaseEvent, detail: string): void {
		const before = this.#state;
		this.#state = nextLeaseState(before, event);
		if (this.#state === before) {
			return;
		}

		if (this.#state === 'idle') {
			this.#cancelSettleTimer();
		}

		if (this.#state === 'holding' || before === 'holding') {
			this.options.events.record({kind: this.#state === 'holding' ? 'lease_won' : 'lease_lost', detail: `${this.options.scope}: ${detail}`});
			this.options.logger.info(this.#state === 'holding' ? 'Holds the lease.' : 'Lost the lease.', {scope: this.options.scope, detail});
		}
	}
}
