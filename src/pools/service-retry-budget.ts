import type {Ms} from '../clock/index.js';

/** Limit on the retries of calls to a service in a window: `ratio` times its requests, plus `slack`. */
export interface RetryLimits {
	readonly windowMs: Ms;
	readonly ratio: number;
	readonly slack: number;
}

/** Fractions of the limits of a service that belong to a budget. */
export interface RetryShares {
	readonly ratio: () => number;
	readonly slack: (now: Ms) => number;
}

/** What a retry budget has counted in its window, and what it allows. */
export interface RetryBudgetState {
	readonly requests: number;
	readonly retries: number;
	/** Number of retries allowed in the window. */
	readonly allowed: number;
	/** Part of `allowed` that comes from the slack. */
	readonly slack: number;
	/** Part of `retries` that is reserved and not sent. */
	readonly reserved: number;
}

/** Outcome of an attempt to spend retries, with the state of the budget before it. */
export interface RetrySpend extends RetryBudgetState {
	readonly isGranted: boolean;
	/** Number of retries that were asked for. */
	readonly count: number;
}

/** Options of a {@link ServiceRetryBudget}. */
export interface ServiceRetryBudgetOptions {
	readonly limits: RetryLimits;
	/** Returns the fraction of the slack that belongs to this budget. */
	readonly share: (now: Ms) => number;
	/** Returns the fraction of the ratio that belongs to this budget; 1 by default. */
	readonly ratioShare?: () => number;
	/** Time before which retries may have been spent that this budget does not know of, as by an earlier process; -Infinity by default. */
	readonly countedSinceMs?: Ms;
	/** Called after each attempt to spend retries. */
	readonly onSpend?: (spend: RetrySpend) => void;
}

/** Part of a retry that a budget has lent. */
export interface RetryLoan {
	/** Part of a retry, which the borrower may send until `untilMs`. */
	readonly amount: number;
	readonly untilMs: Ms;
}

/** Remainder of a budget, less than a retry, that a request holds while it borrows the rest. */
export interface HeldRemainder {
	/** Part of a retry, which counts in the budget until `heldUntilMs` or until it is released. */
	readonly amount: number;
	readonly heldUntilMs: Ms;
}

/**
 * Time for which a part of a retry is lent. A restarted lender uses slack after 1.2 windows of 10 s: what its earlier
 * process has lent must have arrived a window before that, with up to 1 s on the way.
 */
export const retryLoanMs: Ms = 1000;

/** Left of what is held, so that the rounding error of a sum does not deny a retry that is borrowed as a whole. */
const roundingPart = 1e-9;

/** Number of buckets that the window is divided into for counting. */
const bucketsPerWindow = 20;
/** Number of windows for which a retry counts: it may reach its target later than it was spent. */
const retryWindows = 1.1;
/**
 * Number of windows from which the slack is used after a time with unknown retries: those must be out of the window, and
 * all who share the slack must know of this budget.
 */
export const unknownWindows = 1.2;

type Bucket = {readonly startMs: Ms; readonly endMs: Ms; requests: number; retries: number};

/**
 * Limits retries of calls to one service in a sliding window. Several processes can each have a budget for the service:
 * `share` is the fraction of the slack that belongs to this one, and the ratio applies only to the requests recorded in it.
 * Requests count for at most a window and retries for more than one, so that in any window, no more retries are spent than
 * the ratio allows for the requests of that window and the one before, plus the slack. Budgets that add up to half of the
 * ratio thus keep within the larger one of both, wherever the requests of either were recorded.
 *
 * @example
 * const budget = ServiceRetryBudget.create({limits, ratioShare: () => 0.5, share: () => 1 / entryVms});
 * if (budget.spend(now)) { … }
 */
export class ServiceRetryBudget {
	static create(options: ServiceRetryBudgetOptions): ServiceRetryBudget {
		return new ServiceRetryBudget(options);
	}

	/** Oldest first. */
	readonly #buckets: Bucket[] = [];
	/** Retries that were granted and are neither sent nor released. */
	#reserved = 0;
	/** Parts of retries that were lent and may be part of the window, oldest first. */
	readonly #loans: RetryLoan[] = [];
	readonly #held = new Set<HeldRemainder>();
	#limits: RetryLimits;
	#countedSinceMs: Ms;

	private constructor(private readonly options: ServiceRetryBudgetOptions) {
		this.#limits = options.limits;
		this.#countedSinceMs = options.countedSinceMs ?? -Infinity;
	}

	/** Limits in force. Parts of retries that were borrowed under others must not be used. */
	get limits(): RetryLimits {
		return this.#limits;
	}

	/** Replaces the limits; what was counted under the earlier ones still counts. */
	setLimits(limits: RetryLimits, now: Ms): void {
		if (limits.windowMs > this.#limits.windowMs) {
			this.#countedSinceMs = Math.max(this.#countedSinceMs, now - this.#limits.windowMs);
		}

		this.#limits = limits;
	}

	/** Records one request to the service. */
	recordRequest(now: Ms): void {
		this.#current(now).requests++;
	}

	/** Whether `spend` would grant `count` retries. */
	canSpend(now: Ms, count = 1): boolean {
		const {retries, allowed} = this.state(now);
		return retries + count <= allowed;
	}

	/** Returns the number of retries that are left, which may be a part of one. */
	spare(now: Ms): number {
		const {retries, allowed} = this.state(now);
		return Math.max(0, allowed - retries);
	}

	/** Returns the number of retries that can be lent. Requests that leave the window during a loan allow none. */
	lendable(now: Ms): number {
		const {retries, allowed} = this.#count(now, retryLoanMs);
		return Math.max(0, allowed - retries);
	}

	/** Lends up to `amount` retries, for `retryLoanMs`. A loan counts until a window after its end, also if the borrower never sends the retry. */
	lend(now: Ms, amount: number): RetryLoan {
		const loan = {amount: Math.min(amount, this.lendable(now)), untilMs: now + retryLoanMs};
		this.#loans.push(loan);
		return loan;
	}

	/** Takes back `amount` of a loan, which nobody has used or will use. */
	takeBack(loan: RetryLoan, amount: number): void {
		const index = this.#loans.indexOf(loan);
		if (index !== -1) {
			this.#loans[index] = {...loan, amount: Math.max(0, loan.amount - amount)};
		}
	}

	/** Spends `count` retries that are sent now, all or none; returns false when the budget of the window does not suffice. */
	spend(now: Ms, count = 1): boolean {
		const isGranted = this.reserve(now, count);
		if (isGranted) {
			this.recordSent(now, count);
		}

		return isGranted;
	}

	/**
	 * Reserves `count` retries that are sent later, all or none; returns false when the budget of the window does not suffice.
	 * They count until they are recorded as sent or released, however long that takes. Other budgets pay for the part that
	 * is `borrowed` from them; only the rest counts here, and is to be recorded as sent or released.
	 */
	reserve(now: Ms, count = 1, borrowed = 0): boolean {
		const state = this.state(now);
		const isGranted = state.retries + count - borrowed <= state.allowed;
		if (isGranted) {
			this.#reserved += count - borrowed;
		}

		this.options.onSpend?.({...state, isGranted, count});
		return isGranted;
	}

	/** Holds what is left, which is less than a retry, while the rest is borrowed: for the time of a loan, or until it is released. */
	holdSpare(now: Ms): HeldRemainder {
		const held = {amount: Math.max(0, this.spare(now) - roundingPart), heldUntilMs: now + retryLoanMs};
		this.#held.add(held);
		return held;
	}

	/** Releases what was held. */
	releaseHeld(held: HeldRemainder): void {
		this.#held.delete(held);
	}

	/** Records that `count` reserved retries are sent now. */
	recordSent(now: Ms, count = 1): void {
		this.#reserved -= count;
		this.#current(now).retries += count;
	}

	/** Releases `count` reserved retries that will not be sent. */
	release(count = 1): void {
		this.#reserved -= count;
	}

	/** Returns what was counted in the window, and what it allows. */
	state(now: Ms): RetryBudgetState {
		return this.#count(now, 0);
	}

	/** Counts the window without the requests that leave it within `leavingMs`. */
	#count(now: Ms, leavingMs: Ms): RetryBudgetState {
		const {windowMs, ratio, slack: wholeSlack} = this.#limits;
		const {share, ratioShare = () => 1} = this.options;
		this.#expire(now);
		let requests = 0;
		let retries = this.#reserved;
		for (const bucket of this.#buckets) {
			requests += bucket.startMs >= now + leavingMs - windowMs ? bucket.requests : 0;
			retries += bucket.retries;
		}

		for (const {amount} of this.#loans) {
			retries += amount;
		}

		for (const {amount} of this.#held) {
			retries += amount;
		}

		const slack = now - this.#countedSinceMs >= unknownWindows * windowMs ? wholeSlack * share(now) : 0;
		return {
			requests, retries, allowed: (ratio * ratioShare() * requests) + slack, slack, reserved: this.#reserved,
		};
	}

	#expire(now: Ms): void {
		for (const held of this.#held) {
			if (held.heldUntilMs <= now) {
				this.#held.delete(held);
			}
		}

		const startMs = now - (retryWindows * this.#limits.windowMs);
		while (this.#buckets.length > 0 && this.#buckets[0]!.endMs <= startMs) {
			this.#buckets.shift();
		}

		while (this.#loans.length > 0 && this.#loans[0]!.untilMs <= startMs) {
			this.#loans.shift();
		}
	}

	#current(now: Ms): Bucket {
		this.#expire(now);
		let bucket = this.#buckets.at(-1);
		if (!bucket || bucket.endMs <= now) {
			const bucketMs = this.#limits.windowMs / bucketsPerWindow;
			const startMs = Math.max(Math.floor(now / bucketMs) * bucketMs, bucket?.endMs ?? -Infinity);
			bucket = {
				startMs, endMs: startMs + bucketMs, requests: 0, retries: 0,
			};
			this.#buckets.push(bucket);
		}

		return bucket;
	}
}
