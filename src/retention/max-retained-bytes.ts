/** Share of the memory for results that retained ones may take; the rest stays for plans in progress. */
const retainedShare = 0.1;

/** Memory of a stage service, and the entry VMs that share the bound. */
export interface RetentionCapacity {
	/** Memory for results that the configuration declares for each target, in MB. */
	readonly resultMemoryMb: number;
	/** Number of known targets of the service. */
	readonly targets: number;
	/** Number of entry VMs; `undefined` while it is not known. */
	readonly entryVms: number | undefined;
}

/**
 * Returns the maximum number of bytes of results of a stage service that one entry VM may retain; 0 while the number of
 * entry VMs is not known.
 *
 * @example
 * maxRetainedBytes({resultMemoryMb: 15, targets: 4, entryVms: 3}); // 2_000_000
 */
export function maxRetainedBytes({resultMemoryMb, targets, entryVms}: RetentionCapacity): number {
	return entryVms === undefined || entryVms <= 0 ? 0 : Math.floor(resultMemoryMb * 1e6 * targets * retainedShare / entryVms);
}
