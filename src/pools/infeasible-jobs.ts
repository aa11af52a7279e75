import type {Ms} from '../clock/index.js';
import type {StageJob} from './stage-job.js';

/** A late job and its pieces that wait. */
export interface LateJob {
	readonly job: Pick<StageJob, 'id' | 'deadlineMs'>;
	readonly pieces: number;
	/** True while pieces of it are in a call. */
	readonly isCalling: boolean;
}

/** A job that cannot start in time, with the time by which it misses its latest start. */
export interface UnreachedJob {
	readonly id: string;
	readonly excessMs: Ms;
}

/**
 * Finds the late jobs that spare capacity, in pieces a ms, does not reach before their deadlines, the earliest deadline
 * served first. Jobs in a call are kept.
 *
 * @example
 * unreachedJobs(late, {now, perMs: 0.02, callMs: 200});
 */
export function unreachedJobs(late: readonly LateJob[], {now, perMs, callMs}: {now: Ms; perMs: number; callMs: Ms}): UnreachedJob[] {
	const unreached: UnreachedJob[] = [];
	let ahead = 0;
	for (const {job, pieces, isCalling} of late.toSorted((a, b) => a.job.deadlineMs - b.job.deadlineMs)) {
		const excessMs = now + (ahead / perMs) + callMs - job.deadlineMs;
		if (!isCalling && excessMs > 0) {
			unreached.push({id: job.id, excessMs});
		} else {
			ahead += pieces;
		}
	}

	return unreached;
}
