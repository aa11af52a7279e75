import type {Ms} from '../clock/index.js';

/** Repeats that a service may get in a window: `ratio` of the requests for it and `slack` more. */
export interface RetryLimits {
	readonly windowMs: Ms;
	readonly ratio: number;
	readonly slack: number;
}

/** Parts of the window in which repeats and requests are counted. */
const buckets = 10;

type Bucket = {index: number; requests: number; repeats: number};

/**
 * Budget of repeated calls to one service in a sliding window. `share` is this holder's part of the budget; the ratio
 * applies to the requests that the holder has seen itself, so the parts of all holders add up to the whole.
 *
 * @example
 * const budget = RepeatBudget.create({limits, share: () => 1 / entryVms});
 * if (budget.spend(now)) { … }
 */
export class ServiceRetryBudget {
	static create(options: {limits: RetryLimits; share: () => number}): ServiceRetryBudget {
		return new ServiceRetryBudget(options.limits, options.share);
	}

	#buckets: Bucket[] = [];

	private constructor(private readonly limits: RetryLimits, private readonly share: () => number) {}

	/** Counts one request for the service. */
	recordRequest(now: Ms): void {
		this.#current(now).requests++;
	}

	/** Takes one repeat; false when the budget of the window is spent. */
	spend(now: Ms): boolean {
		const current = this.#current(now);
		let requests = 0;
		let repeats = 0;
		for (const bucket of this.#buckets) {
			requests += bucket.requests;
			repeats += bucket.repeats;
		}

		if (repeats + 1 > (this.limits.ratio * requests) + (this.limits.slack * this.share())) {
			return false;
		}

		current.repeats++;
		return true;
	}

	#current(now: Ms): Bucket {
		const index = Math.floor(now / (this.limits.windowMs / buckets));
		// One part more than the window, so that any span of its length is covered.
		this.#buckets = this.#buckets.filter(bucket => bucket.index >= index - buckets);
		let bucket = this.#buckets.at(-1);
		if (bucket?.index !== index) {
			bucket = {index, requests: 0, repeats: 0};
			this.#buckets.push(bucket);
		}

		return bucket;
	}
}
