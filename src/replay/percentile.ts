/** The value below which `share` of the values lie; 0 without values. @internal */
export function percentile(values: readonly number[], share: number): number {
	if (values.length === 0) {
		return 0;
	}

	const sorted = [...values].sort((left, right) => left - right);
	return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)]!;
}
