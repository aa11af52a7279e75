import type {Ms} from '../clock/index.js';

/** Limit on the retries of calls to a service in a window: `ratio` times its requests, plus `slack`. */
export interface RetryLimits {
	readonly windowMs: Ms;
	readonly ratio: number;
	readonly slack: number;
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
	static create(options: {limits: RetryLimits; share: () => number}): ServiceRetryBudget {
		return new ServiceRetryBudget(options.limits, options.share);
	}

	#buckets: Bucket[] = [];

	private constructor(private readonly limits: RetryLimits, private readonly share: () => number) {}

	/** Records one request to the service. */
	recordRequest(now: Ms): void {
		this.#current(now).requests++;
	}

	/** Whether `spend` would grant that many retries. */
	canSpend(now: Ms, count = 1): boolean {
		this.#current(now);
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#buckets) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		return retries + count <= (this.limits.ratio * requests) + (this.limits.slack * this.share());
	}

	/** Spends that many retries; returns false, and spends none, when the budget of the window does not suffice. */
	spend(now: Ms, count = 1): boolean {
		if (!this.canSpend(now, count)) {
			return false;
		}

		this.#current(now).retries += count;
		return true;
	}

	#current(now: Ms): Bucket {
		const index = Math.floor(now / (this.limits.windowMs / bucketCount));
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
