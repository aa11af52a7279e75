import type {Clock} from '../clock/index.js';

/**
 * Share of the weight store's rate that orders may use: a token bucket in GB.
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

	/** Takes the weight of one load; false when it must wait. A load larger than the burst needs a full bucket. */
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
