import type {Ms} from '../clock/index.js';
import type {StageJob} from './stage-job.js';

/** A late job with its number of waiting pieces. */
export interface LateJob {
	readonly job: Pick<StageJob, 'id' | 'deadlineMs'>;
	readonly pieces: number;
	/** Whether any of its pieces is or was in a call, so that its results hold memory. */
	readonly isStarted: boolean;
}

/** A job that cannot meet its deadline, with the time by which it would miss it. */
export interface InfeasibleJob {
	readonly id: string;
	readonly excessMs: Ms;
}

/**
 * Finds the late jobs that cannot meet their deadlines when served in order of deadline (earliest first) at
 * `piecesPerMs`, the spare throughput. Started jobs are never reported.
 *
 * @example
 * findInfeasibleJobs(late, {now, piecesPerMs: 0.02, callMs: 200});
 */
export function findInfeasibleJobs(late: readonly LateJob[], {now, piecesPerMs, callMs}: {now: Ms; piecesPerMs: number; callMs: Ms}): InfeasibleJob[] {
	const infeasible: InfeasibleJob[] = [];
	let piecesAhead = 0;
	for (const {job, pieces, isStarted} of late.toSorted((a, b) => a.job.deadlineMs - b.job.deadlineMs)) {
		const excessMs = now + (piecesAhead / piecesPerMs) + callMs - job.deadlineMs;
		if (!isStarted && excessMs > 0) {
			infeasible.push({id: job.id, excessMs});
		} else {
			piecesAhead += pieces;
		}
	}

	return infeasible;
}
