import type {Ms} from '../clock/index.js';
import type {StageJob} from './stage-job.js';

/** A job that would move more bytes than this from or to another zone waits for a nearer target while there is time: they are billed. */
const fewBytes = 256 * 1024;
/** A job this close to its latest start takes any target. */
const anyZoneSlackMs: Ms = 250;
/** Head start of each rank over the next, in ms of slack: half of the users' objectives, so that the more important kind goes first in an overload. */
const rankMs: Ms = 1000;

/** What a job's place in the order follows from. */
export type RankedJob = Pick<StageJob, 'startByMs' | 'priority' | 'deadlineMs' | 'isCommitted'>;

/** A job in its order. */
export interface OrderedJob {
	readonly job: StageJob;
	/** True when it can no longer meet its objective and is not committed. */
	readonly isLate: boolean;
}

/** A job with pieces that wait. */
export interface WaitingJob {
	readonly job: StageJob;
	readonly pieces: number;
}

/** The target for which jobs are ordered. */
export interface JobOrderOptions {
	readonly now: Ms;
	readonly zone: string;
	/** Pieces that the targets of each zone take in their next calls, for the zones that take work. */
	readonly nextPieces: ReadonlyMap<string, number>;
}

/**
 * Orders the jobs that a target may take, most urgent first: jobs that can still meet their objective by their latest
 * start, then the others by their deadline. Late jobs whose other stages are mostly done count among the first. Jobs
 * that would move many bytes between zones stay for nearer targets, unless they are short of time or the next calls of
 * those targets are full.
 *
 * @example
 * orderJobs(waiting, {now, zone: 'riga-a', nextPieces: new Map([['riga-a', 14], ['liepaja-a', 7]])});
 */
export function orderJobs(waiting: readonly WaitingJob[], {now, zone, nextPieces}: JobOrderOptions): OrderedJob[] {
	const zones = [...nextPieces.keys()];
	const left = new Map(nextPieces);
	const ordered = waiting
		.map(({job, pieces}) => ({
			job, pieces, isLate: isLate(job, now), key: rankKey(job, now),
		}))
		.toSorted((a, b) => Number(a.isLate) - Number(b.isLate) || a.key - b.key);
	return ordered.filter(({job, pieces}) => {
		const near = zones.filter(other => isNear(job, other, zones));
		const isCrowded = !takePieces(left, near, pieces);
		return near.includes(zone) || near.length === 0 || isCrowded || isShortOfTime(job, now);
	});
}

/** Takes pieces off what the zones can take next; false when they are full. */
function takePieces(left: Map<string, number>, zones: readonly string[], pieces: number): boolean {
	const zone = zones.toSorted((a, b) => left.get(b)! - left.get(a)!)[0];
	if (zone === undefined || left.get(zone)! < pieces) {
		return false;
	}

	left.set(zone, left.get(zone)! - pieces);
	return true;
}

/** Waiting pieces of the jobs that go before another one. */
export function piecesAhead(waiting: ReadonlyArray<{job: RankedJob; pieces: number}>, next: RankedJob, now: Ms): number {
	const isNextLate = next.startByMs < now;
	const key = isNextLate ? next.deadlineMs : next.startByMs + (next.priority * rankMs);
	return waiting.reduce((sum, {job, pieces}) => {
		const isBefore = isLate(job, now) ? isNextLate && rankKey(job, now) <= key : isNextLate || rankKey(job, now) <= key;
		return sum + (isBefore ? pieces : 0);
	}, 0);
}

/** True when a job can no longer meet its objective. A committed one is finished all the same: its inputs hold room that others need. */
export function isLate(job: RankedJob, now: Ms): boolean {
	return job.startByMs < now && !job.isCommitted;
}

function rankKey(job: RankedJob, now: Ms): Ms {
	return isLate(job, now) ? job.deadlineMs : Math.max(now, job.startByMs) + (job.priority * rankMs);
}

/** Bytes that move between zones when a job runs in a zone. */
function movedBytes(job: StageJob, zone: string): number {
	return job.transfers.reduce((sum, pull) => sum + (pull.zone === zone ? 0 : pull.bytes), 0);
}

function isNear(job: StageJob, zone: string, servedZones: readonly string[]): boolean {
	const least = Math.min(...servedZones.map(other => movedBytes(job, other)));
	return movedBytes(job, zone) - least < fewBytes;
}

function isShortOfTime(job: StageJob, now: Ms): boolean {
	return job.startByMs >= now && job.startByMs - now < anyZoneSlackMs;
}
