import type {Ms} from '../clock/index.js';
import type {StageJob} from './stage-job.js';

/**
 * A zone counts as near to a job when running there transfers less than this many bytes more between zones than running in
 * the best zone. A job waits for a target in a near zone while there is time, since cross-zone traffic is billed.
 */
const smallTransferBytes = 256 * 1024;
/** Slack before its latest start below which a job may run in any zone. */
const anyZoneSlackMs: Ms = 250;
/** Amount that each lower priority level adds to the sort key: half of the users' latency objectives, so that higher priorities go first under overload. */
const priorityStepMs: Ms = 1000;

/** Properties of a job that determine its place in the order. */
export type JobUrgency = Pick<StageJob, 'startByMs' | 'priority' | 'deadlineMs' | 'isCommitted'>;

/** A job in scheduling order. */
export interface OrderedJob {
	readonly job: StageJob;
	/** Whether it can no longer meet its objective and is not committed. */
	readonly isLate: boolean;
}

/** A job with its number of waiting pieces. */
export interface WaitingJob {
	readonly job: StageJob;
	readonly pieces: number;
}

/** Options of {@link orderJobs}, for one target. */
export interface JobOrderOptions {
	readonly now: Ms;
	/** Availability zone of the target. */
	readonly zone: string;
	/** Number of pieces that the targets of each zone can take in their next calls; zones that take no work are absent. */
	readonly zoneCapacity: ReadonlyMap<string, number>;
}

/**
 * Returns the jobs that a target may take, most urgent first: jobs that can still meet their objective by latest start and
 * priority, then late jobs by deadline. Committed jobs count as on time, and as due now once their latest start has passed.
 * Jobs that would transfer many bytes between zones are left to nearer targets, unless they are short of time or the next
 * calls of those targets are full.
 *
 * @example
 * orderJobs(waiting, {now, zone: 'riga-a', zoneCapacity: new Map([['riga-a', 14], ['liepaja-a', 7]])});
 */
export function orderJobs(waiting: readonly WaitingJob[], {now, zone, zoneCapacity}: JobOrderOptions): OrderedJob[] {
	const zones = [...zoneCapacity.keys()];
	const remaining = new Map(zoneCapacity);
	const ordered = waiting
		.map(({job, pieces}) => ({
			job, pieces, isLate: isLate(job, now), key: sortKeyMs(job, now),
		}))
		.toSorted((a, b) => Number(a.isLate) - Number(b.isLate) || a.key - b.key);
	return ordered.filter(({job, pieces}) => {
		const near = zones.filter(other => isNear(job, other, zones));
		const isNearFull = !reserveCapacity(remaining, near, pieces);
		return near.includes(zone) || near.length === 0 || isNearFull || isShortOfTime(job, now);
	});
}

/** Reserves capacity in the zone that has the most left of those given; returns false when the pieces do not fit there. */
function reserveCapacity(remaining: Map<string, number>, zones: readonly string[], pieces: number): boolean {
	const zone = zones.toSorted((a, b) => remaining.get(b)! - remaining.get(a)!)[0];
	if (zone === undefined || remaining.get(zone)! < pieces) {
		return false;
	}

	remaining.set(zone, remaining.get(zone)! - pieces);
	return true;
}

/** Returns the number of waiting pieces of the jobs that go before the given one. */
export function piecesAhead(waiting: ReadonlyArray<{job: JobUrgency; pieces: number}>, next: JobUrgency, now: Ms): number {
	const isNextLate = next.startByMs < now;
	const key = isNextLate ? next.deadlineMs : next.startByMs + (next.priority * priorityStepMs);
	return waiting.reduce((sum, {job, pieces}) => {
		const isBefore = isLate(job, now) ? isNextLate && sortKeyMs(job, now) <= key : isNextLate || sortKeyMs(job, now) <= key;
		return sum + (isBefore ? pieces : 0);
	}, 0);
}

/** Whether a job can no longer meet its objective. Committed jobs never count as late: they are finished anyway, since their inputs hold memory that other jobs need. */
export function isLate(job: JobUrgency, now: Ms): boolean {
	return job.startByMs < now && !job.isCommitted;
}

function sortKeyMs(job: JobUrgency, now: Ms): Ms {
	return isLate(job, now) ? job.deadlineMs : Math.max(now, job.startByMs) + (job.priority * priorityStepMs);
}

/** Bytes transferred between zones when a job runs in a zone. */
function crossZoneBytes(job: StageJob, zone: string): number {
	return job.transfers.reduce((sum, transfer) => sum + (transfer.zone === zone ? 0 : transfer.bytes), 0);
}

function isNear(job: StageJob, zone: string, servedZones: readonly string[]): boolean {
	const leastBytes = Math.min(...servedZones.map(other => crossZoneBytes(job, other)));
	return crossZoneBytes(job, zone) - leastBytes < smallTransferBytes;
}

function isShortOfTime(job: StageJob, now: Ms): boolean {
	return job.startByMs >= now && job.startByMs - now < anyZoneSlackMs;
}
