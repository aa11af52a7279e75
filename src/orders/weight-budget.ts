import type {Clock} from '../clock/index.js';

/**
 * Token bucket, in GB, that limits the rate at which orders load model weights from the weight store.
 *
 * @example
 * const budget = WeightBudget.create({clock, gbPerSecond: 2, burstGb: 20});
 * if (budget.take(14)) { … }
 */
export class WeightBudget {
	static create(options: {clock: Clock; gbPerSecond: number; burstGb: number}): WeightBudget {
		return new WeightBudget(options);
	}

	#available: number;
	#updatedAt: number;

	private constructor(private readonly options: {clock: Clock; gbPerSecond: number; burstGb: number}) {
		this.#available = options.burstGb;
		this.#updatedAt = options.clock.now();
	}

	/**
	 * Takes `gb` from the bucket for one load; returns false if the load must wait. A load larger than
	 * `burstGb` needs a full bucket.
	 */
	take(gb: number): boolean {
		this.#refill();
		if (this.#available < Math.min(gb, this.options.burstGb)) {
			return false;
		}

		this.#available -= gb;
		return true;
	}

	#refill(): void {
		const now = this.options.clock.now();
		const refill = (now - this.#updatedAt) / 1000 * this.options.gbPerSecond;
		this.#available = Math.min(this.options.burstGb, this.#available + refill);
		this.#updatedAt = now;
	}
}
