import type {Ms} from '../clock/index.js';
import type {StageJob} from './stage-job.js';

/** A late job with its number of waiting pieces. */
export interface LateJob {
	readonly job: Pick<StageJob, 'id' | 'deadlineMs'>;
	readonly pieces: number;
	/** Whether any of its pieces is in a call. */
	readonly isInCall: boolean;
}

/** A job that cannot meet its deadline, with the time by which it would miss it. */
export interface InfeasibleJob {
	readonly id: string;
	readonly excessMs: Ms;
}

/**
 * Finds the late jobs that cannot meet their deadlines when served in order of deadline (earliest first) at `perMs`, the
 * spare capacity in pieces per ms. Jobs with pieces in a call are never reported.
 *
 * @example
 * findInfeasibleJobs(late, {now, perMs: 0.02, callMs: 200});
 */
export function findInfeasibleJobs(late: readonly LateJob[], {now, perMs, callMs}: {now: Ms; perMs: number; callMs: Ms}): InfeasibleJob[] {
	const infeasible: InfeasibleJob[] = [];
	let piecesAhead = 0;
	for (const {job, pieces, isInCall} of late.toSorted((a, b) => a.job.deadlineMs - b.job.deadlineMs)) {
		const excessMs = now + (piecesAhead / perMs) + callMs - job.deadlineMs;
		if (!isInCall && excessMs > 0) {
			infeasible.push({id: job.id, excessMs});
		} else {
			piecesAhead += pieces;
		}
	}

	return infeasible;
}
