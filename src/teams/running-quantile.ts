/** Step size relative to the estimate. */
const relativeStep = 0.05;

/**
 * Estimates a quantile of a stream of positive numbers in constant memory by stochastic approximation: each value moves
 * the estimate up or down by a step whose expected value is zero at the quantile.
 *
 * @example
 * const p90 = RunningQuantile.create({quantile: 0.9, initial: 1});
 * p90.add(1.2);
 */
export class RunningQuantile {
	static create(options: {quantile: number; initial: number}): RunningQuantile {
		return new RunningQuantile(options.quantile, options.initial);
	}

	private constructor(private readonly quantile: number, private estimate: number) {}

	get value(): number {
		return this.estimate;
	}

	add(value: number): void {
		const direction = value > this.estimate ? this.quantile : this.quantile - 1;
		this.estimate *= 1 + (relativeStep * direction);
	}
}
