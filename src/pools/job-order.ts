import type {Ms} from '../clock/index.js';
import type {StageJob} from './stage-job.js';

/** A job that would move more bytes than this from or to another zone waits for a nearer target while there is time: they are billed. */
const fewBytes = 256 * 1024;
/** A job this close to its latest start takes any target. */
const anyZoneSlackMs: Ms = 250;
/** Head start of each rank over the next, in ms of slack. */
const rankMs: Ms = 150;

/** A job in its order. */
export interface OrderedJob {
	readonly job: StageJob;
	/** True when it can no longer meet its objective and is not committed. */
	readonly isLate: boolean;
}

/** The target for which jobs are ordered. */
export interface JobOrderOptions {
	readonly now: Ms;
	readonly zone: string;
	/** Zones with a target of the pool that takes work. */
	readonly servedZones: readonly string[];
}

/**
 * Orders the jobs that a target may take, most urgent first: jobs that can still meet their objective by their latest
 * start, then the others by their deadline. Late jobs whose other stages are mostly done count among the first. Jobs that would move many bytes between zones stay for nearer targets until
 * they run out of slack.
 *
 * @example
 * orderJobs(jobs, {now, zone: 'riga-a', servedZones: ['riga-a', 'liepaja-a']});
 */
export function orderJobs(jobs: readonly StageJob[], options: JobOrderOptions): OrderedJob[] {
	const {now, zone, servedZones} = options;
	return jobs
		.filter(job => isNear(job, zone, servedZones) || isShortOfTime(job, now))
		.map(job => ({job, isLate: isLate(job, now), key: rankKey(job, now)}))
		.toSorted((a, b) => Number(a.isLate) - Number(b.isLate) || a.key - b.key);
}

/** Waiting pieces of the jobs that go before another one. */
export function piecesAhead(waiting: ReadonlyArray<{job: StageJob; pieces: number}>, next: Pick<StageJob, 'startByMs' | 'priority' | 'deadlineMs'>, now: Ms): number {
	const isNextLate = next.startByMs < now;
	const key = isNextLate ? next.deadlineMs : next.startByMs + (next.priority * rankMs);
	return waiting.reduce((sum, {job, pieces}) => {
		const isBefore = isLate(job, now) ? isNextLate && rankKey(job, now) <= key : isNextLate || rankKey(job, now) <= key;
		return sum + (isBefore ? pieces : 0);
	}, 0);
}

/** A late job that is committed is finished: its inputs hold room that others need. */
function isLate(job: StageJob, now: Ms): boolean {
	return job.startByMs < now && !job.isCommitted;
}

function rankKey(job: StageJob, now: Ms): Ms {
	return isLate(job, now) ? job.deadlineMs : Math.max(now, job.startByMs) + (job.priority * rankMs);
}

/** Bytes that move between zones when a job runs in a zone. */
function movedBytes(job: StageJob, zone: string): number {
	return job.pulls.reduce((sum, pull) => sum + (pull.zone === zone ? 0 : pull.bytes), 0);
}

function isNear(job: StageJob, zone: string, servedZones: readonly string[]): boolean {
	const least = Math.min(...servedZones.map(other => movedBytes(job, other)));
	return movedBytes(job, zone) - least < fewBytes;
}

function isShortOfTime(job: StageJob, now: Ms): boolean {
	return job.startByMs >= now && job.startByMs - now < anyZoneSlackMs;
}
