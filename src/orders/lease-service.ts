import {randomUUID} from 'node:crypto';
import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logs/index.js';
import type {PlatformLog} from '../log/index.js';
import type {Random} from '../random/index.js';
import {foldLeases, type LeaseRecord, type LeaseTable} from './lease-fold.js';
import {nextLeaseState, type LeaseEvent, type LeaseState} from './lease-lifecycle.js';

/** Lifetime of a lease; renewed after a third. */
const defaultTtlMs: Ms = 6000;
const readWaitMs: Ms = 1000;
const retryMs: Ms = 300;

/** Settings and ports of a lease. */
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
	/** False where others compete instead; a holder goes on. */
	readonly isCandidate?: () => boolean;
	/** Longest time that an order of an earlier holder may still take effect. */
	readonly settleMs: Ms;
}

/**
 * Competes for the lease of a scope through the platform's log. A lease only limits who gives orders: a paused holder
 * may act late, so its orders must be harmless by fencing or by being absolute.
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
	#next = 0;
	#state: LeaseState = 'idle';
	/** The lease is valid here until this monotonic time: its record's append began one lifetime before. */
	#validUntil: Ms = 0;
	/** Monotonic time by which the present holder's lease has lapsed, if it is not renewed. */
	#othersUntil: Ms = 0;
	#lastAppendAt: Ms = Number.NEGATIVE_INFINITY;
	#pending: {id: string; startedAt: Ms} | undefined;
	#cancelSettle: CancelTimer = () => undefined;
	readonly #stopped = new AbortController();

	private constructor(private readonly options: LeaseServiceOptions) {}

	get state(): LeaseState {
		return this.#state;
	}

	/** Fencing number of this process's tenure; `undefined` where it may not give orders. */
	get fencing(): number | undefined {
		return this.remainingMs() > 0 ? this.#table.get(this.options.scope)?.fencing : undefined;
	}

	/** Time for which this process may give orders, in ms; 0 where it may not. */
	remainingMs(): Ms {
		return this.#state === 'holding' ? Math.max(0, this.#validUntil - this.options.clock.now()) : 0;
	}

	start(): void {
		void this.#follow();
	}

	/** Stops and releases the lease. */
	stop(): void {
		this.#stopped.abort();
		this.#cancelSettle();
		if (this.#state === 'holding' || this.#state === 'settling') {
			void this.#append({
				kind: 'release', id: randomUUID(), scope: this.options.scope, holder: this.options.holder,
			}).catch(() => undefined);
		}

		this.#apply('LOST', 'stopped');
	}

	async #follow(): Promise<void> {
		const {clock, log, logger} = this.options;
		while (!this.#stopped.signal.aborted) {
			if (this.#state === 'idle' && this.options.isCandidate?.() === false) {
				await clock.sleep(readWaitMs, this.#stopped.signal);
				continue;
			}

			try {
				const page = await log.read('leases', this.#next, {waitMs: Math.min(readWaitMs, this.#ttlMs / 6), signal: this.#stopped.signal});
				for (const record of page.records) {
					this.#table = foldLeases(this.#table, record);
					this.#observe();
				}

				this.#next = page.next;
				await this.#compete();
			} catch (err) {
				logger.debug('Cannot follow the leases.', {error: errorMessage(err)});
				await clock.sleep(retryMs, this.#stopped.signal);
			}

			this.#checkLapse();
		}
	}

	get #ttlMs(): Ms {
		return this.options.ttlMs ?? defaultTtlMs;
	}

	#observe(): void {
		const {clock, holder, scope} = this.options;
		const lease = this.#table.get(scope);
		if (!lease) {
			return;
		}

		if (lease.holder !== holder) {
			// The record was appended before it was read, so this bound is late, never early.
			this.#othersUntil = clock.now() + this.#ttlMs;
			this.#apply('LOST', `held by ${lease.holder}`);
		} else if (lease.recordId === this.#pending?.id) {
			this.#validUntil = this.#pending.startedAt + this.#ttlMs;
			this.#pending = undefined;
			if (this.#state === 'pending') {
				this.#apply('WON', `fencing ${lease.fencing}`);
				this.#cancelSettle = clock.after(this.options.settleMs, () => {
					this.#apply('SETTLED', `fencing ${lease.fencing}`);
				});
			}
		}
	}

	/** Takes a lease that seems free, renews one that is held. */
	async #compete(): Promise<void> {
		const {clock, random, holder, scope} = this.options;
		const now = clock.now();
		const isMine = this.#state !== 'idle';
		const isDue = isMine ? now - this.#lastAppendAt > this.#ttlMs / 3 : now > this.#othersUntil;
		if (!isDue || this.#stopped.signal.aborted) {
			return;
		}

		if (!isMine) {
			// Jitter keeps all candidates from appending at once; the log decides between those that do.
			await clock.sleep(random.float() * this.#ttlMs / 6, this.#stopped.signal);
			const page = await this.options.log.read('leases', this.#next);
			if (page.next > this.#next || this.#stopped.signal.aborted) {
				return;
			}
		}

		const id = randomUUID();
		this.#pending = {id, startedAt: clock.now()};
		this.#lastAppendAt = this.#pending.startedAt;
		this.#apply('APPENDED', 'candidate');
		await this.#append({
			kind: 'lease', id, scope, holder, ttlMs: this.#ttlMs,
		});
	}

	async #append(record: LeaseRecord): Promise<void> {
		await this.options.log.append('leases', [record]);
	}

	#checkLapse(): void {
		const now = this.options.clock.now();
		const isLapsed = this.#state === 'pending' ? now - this.#lastAppendAt > this.#ttlMs : now > this.#validUntil;
		if (this.#state !== 'idle' && isLapsed) {
			this.#apply('LAPSED', 'not renewed in time');
		}
	}

	#apply(event: LeaseEvent, detail: string): void {
		const before = this.#state;
		this.#state = nextLeaseState(before, event);
		if (this.#state === before) {
			return;
		}

		if (this.#state === 'idle') {
			this.#cancelSettle();
		}

		if (this.#state === 'holding' || before === 'holding') {
			this.options.events.record({kind: this.#state === 'holding' ? 'lease_won' : 'lease_lost', detail: `${this.options.scope}: ${detail}`});
			this.options.logger.info(this.#state === 'holding' ? 'Holds the lease.' : 'Lost the lease.', {scope: this.options.scope, detail});
		}
	}
}
