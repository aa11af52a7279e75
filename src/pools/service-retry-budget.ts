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
	#limits: RetryLimits;
	#countedSinceMs: Ms;

	private constructor(private readonly options: ServiceRetryBudgetOptions) {
		this.#limits = options.limits;
		this.#countedSinceMs = options.countedSinceMs ?? -Infinity;
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
	 * They count until they are recorded as sent or released, however long that takes.
	 */
	reserve(now: Ms, count = 1): boolean {
		const state = this.state(now);
		const isGranted = state.retries + count <= state.allowed;
		if (isGranted) {
			this.#reserved += count;
		}

		this.options.onSpend?.({...state, isGranted, count});
		return isGranted;
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
		const {windowMs, ratio, slack: wholeSlack} = this.#limits;
		const {share, ratioShare = () => 1} = this.options;
		this.#expire(now);
		let requests = 0;
		let retries = this.#reserved;
		for (const bucket of this.#buckets) {
			requests += bucket.startMs >= now - windowMs ? bucket.requests : 0;
			retries += bucket.retries;
		}

		const slack = now - this.#countedSinceMs >= unknownWindows * windowMs ? wholeSlack * share(now) : 0;
		return {
			requests, retries, allowed: (ratio * ratioShare() * requests) + slack, slack,
		};
	}

	#expire(now: Ms): void {
		const startMs = now - (retryWindows * this.#limits.windowMs);
		while (this.#buckets.length > 0 && this.#buckets[0]!.endMs <= startMs) {
			this.#buckets.shift();
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
