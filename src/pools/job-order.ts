import type {Ms} from '../clock/index.js';
import type {StageJob} from './stage-job.js';

/** Results above this size are made in the zone that uses them while there is time: bytes between zones are billed. */
const largeResultBytes = 256 * 1024;
/** A job this close to its latest start takes any target, other zones' included. */
const anyZoneSlackMs: Ms = 250;
/** Head start of each rank over the next, in ms of slack. */
const rankMs: Ms = 150;

/** The target for which jobs are ordered. */
export interface JobOrderOptions {
	readonly now: Ms;
	readonly zone: string;
	/** True where a zone has a target of the pool that takes work. */
	readonly isZoneServed: (zone: string) => boolean;
}

/**
 * Orders the jobs that a target may take, most urgent first: jobs that can still meet their objective by their latest
 * start, then the others by their deadline. Jobs with large results stay for the targets of their own zone until they
 * run out of slack.
 *
 * @example
 * orderJobs(jobs, {now, zone: 'riga-a', isZoneServed: () => true});
 */
export function orderJobs(jobs: readonly StageJob[], options: JobOrderOptions): StageJob[] {
	const {now, zone, isZoneServed} = options;
	const eligible = jobs.filter(job => job.zone === zone || job.resultBytes < largeResultBytes || !isZoneServed(job.zone) || isShortOfTime(job, now));
	return eligible
		.map(job => ({job, isLate: job.startByMs < now, key: job.startByMs < now ? job.deadlineMs : job.startByMs + (job.priority * rankMs)}))
		.toSorted((a, b) => Number(a.isLate) - Number(b.isLate) || a.key - b.key)
		.map(({job}) => job);
}

function isShortOfTime(job: StageJob, now: Ms): boolean {
	return job.startByMs >= now && job.startByMs - now < anyZoneSlackMs;
}
