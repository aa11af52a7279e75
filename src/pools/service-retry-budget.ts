import type {Ms} from '../clock/index.js';

/** Retries allowed to a service per window: `ratio` times its requests, plus `slack`. */
export interface RetryLimits {
	readonly windowMs: Ms;
	readonly ratio: number;
	readonly slack: number;
}

/** Number of buckets that the window is divided into for counting. */
const bucketCount = 10;

type Bucket = {index: number; requests: number; retries: number};

/**
 * Limits retries of calls to one service in a sliding window. `share` is this holder's fraction of the slack. The ratio
 * applies only to requests that this holder has recorded, so the budgets of all holders add up to the limits of the
 * service.
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

	/** Spends one retry; returns false when the budget of the window is exhausted. */
	spend(now: Ms): boolean {
		const current = this.#current(now);
		let requests = 0;
		let retries = 0;
		for (const bucket of this.#buckets) {
			requests += bucket.requests;
			retries += bucket.retries;
		}

		if (retries + 1 > (this.limits.ratio * requests) + (this.limits.slack * this.share())) {
			return false;
		}

		current.retries++;
		return true;
	}

	#current(now: Ms): Bucket {
		const index = Math.floor(now / (this.limits.windowMs / bucketCount));
		// Keeps one bucket more than the window holds, so that every time span of the length of the window is covered.
		this.#buckets = this.#buckets.filter(bucket => bucket.index >= index - bucketCount);
		let bucket = this.#buckets.at(-1);
		if (bucket?.index !== index) {
			bucket = {index, requests: 0, retries: 0};
			this.#buckets.push(bucket);
		}

		return bucket;
	}
}
