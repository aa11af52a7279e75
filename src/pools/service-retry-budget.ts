import type {Ms} from '../clock/index.js';

/** Limit on the retries of calls to a service in a window: `ratio` times its requests, plus `slack`. */
export interface RetryLimits {
	readonly windowMs: Ms;
	readonly ratio: number;
	readonly slack: number;
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
	readonly share: () => number;
	/** Called after each attempt to spend retries. */
	readonly onSpend?: (spend: RetrySpend) => void;
}

/** Number of buckets that the window is divided into for counting. */
const bucketCount = 10;

type Bucket = {index: number; requests: number; retries: number};

/**
 * Limits retries of calls to one service in a sliding window. Several processes can each have a budget for the service:
 * `share` is the fraction of the slack that belongs to this one, and the ratio applies only to the requests recorded in it,
 * so the budgets add up to the limits of the service.
 *
 * @example
 * const budget = ServiceRetryBudget.create({limits, share: () => 1 / entryVms});
 * if (budget.spend(now)) { … }
 */
export class ServiceRetryBudget {
	static create(options: ServiceRetryBudgetOptions): ServiceRetryBudget {
		return new ServiceRetryBudget(options);
	}

	#buckets: Bucket[] = [];

	private constructor(private readonly options: ServiceRetryBudgetOptions) {}

	/** Records one request to the service. */
	recordRequest(now: Ms): void {
		this.#current(now).requests++;
	}

	/** Whether `spend` would grant `count` retries. */
	canSpend(now: Ms, count = 1): boolean {
		const {retries, allowed} = this.state(now);
		return retries + count <= allowed;
	}

	/** Spends `count` retries, all or none; returns false when the budget of the window does not suffice. */
	spend(now: Ms, count = 1): boolean {
		const state = this.state(now);
		const isGranted = state.retries + count <= state.allowed;
		if (isGranted) {
			this.#current(now).retries += count;
		}

		this.options.onSpend?.({...state, isGranted, count});
		return isGranted;
	}

	/** Returns what was counted in the window, and what it allows. */
	state(now: Ms): RetryBudgetState {
		this.#current(now);
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#buckets) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		const {limits, share} = this.options;
		const slack = limits.slack * share();
		return {
			requests, retries, allowed: (limits.ratio * requests) + slack, slack,
		};
	}

	#current(now: Ms): Bucket {
		const index = Math.floor(now / (this.options.limits.windowMs / bucketCount));
		// Keeps one bucket more than fits into the window: its start usually falls within the oldest bucket.
		this.#buckets = this.#buckets.filter(bucket => bucket.index >= index - bucketCount);
		let bucket = this.#buckets.at(-1);
		if (bucket?.index !== index) {
			bucket = {index, requests: 0, retries: 0};
			this.#buckets.push(bucket);
		}

		return bucket;
	}
}
