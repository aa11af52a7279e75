/** Upper bound of the fraction of a pool that is kept free for on-time jobs, and the fraction while their use is not yet measured. */
const maxOnTimeShare = 0.5;
/** Fraction kept free for on-time jobs above what they have used recently. */
const onTimeMargin = 0.1;

/** What jobs that can no longer meet their objective may use of a pool. */
export interface LateAllowance {
	/** Number of targets that may run calls without an on-time job at a time, at least 1. */
	readonly targets: number;
	/** Fraction of a target's usable memory that stays free for on-time jobs. */
	readonly reservedMemoryShare: number;
}

/**
 * Decides what late jobs may use. If they took every target and all memory, jobs that arrive meanwhile would become late as
 * well, so that what on-time jobs have used recently is kept for them. If late jobs were held to a fixed part instead, a
 * pool whose jobs are all late after a burst would work through its backlog at that part of its rate. `onTimeShare` is
 * the fraction of the targets' time that on-time jobs have used recently, `undefined` if not yet measured.
 *
 * @example
 * lateAllowance(10, 0.2); // {targets: 7, reservedMemoryShare: 0.3}
 */
export function lateAllowance(targets: number, onTimeShare: number | undefined): LateAllowance {
	const reservedMemoryShare = onTimeShare === undefined ? maxOnTimeShare : Math.min(maxOnTimeShare, onTimeShare + onTimeMargin);
	return {targets: Math.max(1, Math.floor(targets * (1 - reservedMemoryShare))), reservedMemoryShare};
}
