/** Returns the nearest-rank quantile of the values, or 0 without values; `quantile` is between 0 and 1. @internal */
export function percentile(values: readonly number[], quantile: number): number {
	if (values.length === 0) {
		return 0;
	}

	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.ceil(quantile * sorted.length) - 1)]!;
}
