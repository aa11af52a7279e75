import type {OrderedJob} from './job-order.js';
import type {StageJob} from './stage-job.js';

/** A job in scheduling order with what decides whether it may share a call. */
export interface PlannableJob extends OrderedJob {
	/** Whether a call with it was cut off, so that it may have ended the target. */
	readonly isSuspect: boolean;
	/** Number of its pieces in calls. */
	readonly inCall: number;
}

/** What a target has for its next call. */
export interface CallRoom {
	/** Maximum number of pieces. */
	readonly batch: number;
	/** Memory for results, in MB. */
	readonly freeMb: number;
	/** Part of `freeMb` that late jobs leave free. */
	readonly reservedMb: number;
	/** Whether the target holds nothing and runs nothing. */
	readonly isEmpty: boolean;
	/** Whether the call may be one without an on-time job. */
	readonly mayBeLate: boolean;
}

/** Pieces of the next call of a target. */
export interface CallPlan {
	/** Number of pieces of each job, in the order of the call. */
	readonly parts: ReadonlyArray<{readonly job: StageJob; readonly pieces: number}>;
	/** Whether the call has no on-time job. */
	readonly isLate: boolean;
}

/**
 * Chooses the pieces of the next call of a target from the jobs that it may take, most urgent first. Jobs go whole into a
 * call: results of part of a job hold memory without being usable, so that a job is split only if it exceeds the batch
 * or the memory of an empty target.
 *
 * @example
 * planCall(jobs, {batch: 12, freeMb: 27, reservedMb: 5, isEmpty: true, mayBeLate: true}).parts; // [{job, pieces: 10}]
 */
export function planCall(jobs: readonly PlannableJob[], room: CallRoom): CallPlan {
	const parts: Array<{job: StageJob; pieces: number}> = [];
	let count = 0;
	let {freeMb} = room;
	let isLateCall = false;
	for (const candidate of jobs) {
		const {job} = candidate;
		if (candidate.isLate && count === 0) {
			isLateCall = true;
		}

		if (isLateCall && !room.mayBeLate) {
			break;
		}

		// What ended its target goes to one target at a time and without other jobs, which would come under suspicion with it.
		if (candidate.isSuspect && (count > 0 || candidate.inCall > 0)) {
			continue;
		}

		const pieceMb = job.resultBytes / 1e6;
		// An empty target takes a first late job with all of its memory: split by the reserve, its parts would hold memory in vain.
		const usableMb = candidate.isLate && (count > 0 || !room.isEmpty) ? freeMb - room.reservedMb : freeMb;
		const batchLeft = room.batch - count;
		const fitting = Math.max(0, Math.min(batchLeft, Math.floor(usableMb / Math.max(pieceMb, Number.EPSILON))));
		const isWhole = fitting >= candidate.pieces;
		if (fitting === 0 || (!isWhole && (count > 0 || (batchLeft > fitting && !room.isEmpty)))) {
			continue;
		}

		const pieces = Math.min(fitting, candidate.pieces);
		parts.push({job, pieces});
		count += pieces;
		freeMb -= pieceMb * pieces;
		if (count >= room.batch || candidate.isSuspect) {
			break;
		}
	}

	return {parts, isLate: isLateCall && count > 0};
}
