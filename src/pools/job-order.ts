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

/** A job with its number of waiting pieces. */
export interface WaitingJob {
	readonly job: StageJob;
	readonly pieces: number;
	/** Whether other pieces of it are in a call or have results, which hold memory until the job ends. */
	readonly isStarted: boolean;
}

/** A job in scheduling order. */
export interface OrderedJob extends WaitingJob {
	/** Whether it can no longer meet its objective and is neither committed nor started. */
	readonly isLate: boolean;
}

/** Options of {@link jobsForTarget}. */
export interface JobZoneOptions {
	readonly now: Ms;
	/** Availability zone of the target. */
	readonly zone: string;
	/** Number of pieces that the targets of each zone can take in their next calls; zones that take no work are absent. */
	readonly zoneCapacity: ReadonlyMap<string, number>;
}

/**
 * Returns the jobs in scheduling order: jobs that can still meet their objective by latest start and priority, then late
 * jobs by deadline. Committed and started jobs count as on time, and as due now once their latest start has passed.
 *
 * @example
 * jobsForTarget(orderJobs(waiting, now), {now, zone: 'riga-a', zoneCapacity: new Map([['riga-a', 14], ['liepaja-a', 7]])});
 */
export function orderJobs(waiting: readonly WaitingJob[], now: Ms): OrderedJob[] {
	return waiting
		.map(({job, pieces, isStarted}) => {
			const isJobLate = !isStarted && isLate(job, now);
			return {
				job, pieces, isStarted, isLate: isJobLate, key: sortKeyMs(job, isJobLate, now),
			};
		})
		.toSorted((a, b) => Number(a.isLate) - Number(b.isLate) || a.key - b.key);
}

/**
 * Returns the ordered jobs that a target may take. Jobs that would transfer many bytes between zones are left to nearer
 * targets, unless they are short of time or the next calls of those targets are full.
 */
export function jobsForTarget(ordered: readonly OrderedJob[], {now, zone, zoneCapacity}: JobZoneOptions): OrderedJob[] {
	const zones = [...zoneCapacity.keys()];
	const remaining = new Map(zoneCapacity);
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

/** A job with the time of one target that its waiting pieces take. */
export interface JobWork {
	readonly job: JobUrgency;
	readonly isStarted: boolean;
	readonly workMs: Ms;
}

/** Returns the time of one target that the jobs take that go before the given one. */
export function workAhead(waiting: Iterable<JobWork>, next: JobUrgency, now: Ms): Ms {
	const isNextLate = next.startByMs < now;
	const key = isNextLate ? next.deadlineMs : next.startByMs + (next.priority * priorityStepMs);
	let sumMs = 0;
	for (const {job, isStarted, workMs} of waiting) {
		const isJobLate = !isStarted && isLate(job, now);
		const isBefore = isJobLate ? isNextLate && sortKeyMs(job, true, now) <= key : isNextLate || sortKeyMs(job, false, now) <= key;
		sumMs += isBefore ? workMs : 0;
	}

	return sumMs;
}

/** Whether a job can no longer meet its objective. Committed jobs never count as late: they are finished anyway, since their inputs hold memory that other jobs need. */
export function isLate(job: JobUrgency, now: Ms): boolean {
	return job.startByMs < now && !job.isCommitted;
}

function sortKeyMs(job: JobUrgency, isJobLate: boolean, now: Ms): Ms {
	return isJobLate ? job.deadlineMs : Math.max(now, job.startByMs) + (job.priority * priorityStepMs);
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
