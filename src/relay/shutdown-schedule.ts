import type {Ms} from '../clock/index.js';
import {isRetryable, type Route} from '../routes/index.js';
import type {DurationEstimate} from './route-durations.js';

/** Time after SIGTERM in which new requests are accepted, since the load balancer routes connections here until two readiness checks have failed. */
const acceptMs: Ms = 2500;
/** Minimum time between SIGTERM and exit. */
const minDrainMs: Ms = 3000;
/** End of the grace period that is reserved for the last answers and for closing connections, and its maximum share of a short one. */
const closeMargin: {readonly ms: Ms; readonly share: number} = {ms: 500, share: 1 / 6};
/** Time for which a target's own answer at its deadline can arrive before the requests in progress are ended. */
const answerMarginMs: Ms = 100;
/** Minimum time left with which a request is sent to a target that could otherwise take longer: queues there vary by this much. */
const minRunMs: Ms = 500;
/** Factor on the expected duration of a request that may be repeated elsewhere if it is cut. */
const repeatableFactor = 1.5;
/** Factor on the longest recent duration of a request that may not be repeated. */
const nonRepeatableFactor = 2;
/** Minimum number of recent requests of a route whose longest duration counts as a bound. */
const minSamples = 20;
/** Assumed duration of a repeatable request of a route without recent requests, as a multiple of its objective. */
const unmeasuredObjectives = 2;

/** A request, as far as its duration depends on it. */
export interface ScheduledRequest {
	readonly route: Pick<Route, 'kind' | 'isResumable' | 'objectiveMs'>;
	/** Time at which its caller or its route gives it up. */
	readonly deadlineMs: Ms;
	/** Recent durations of such requests; `undefined` if there were none. */
	readonly estimate: DurationEstimate | undefined;
}

/**
 * What an entry VM does at which time after SIGTERM, given its grace period: until when it accepts requests, which ones it
 * still sends to a target, and when it closes. All times are on the monotonic clock.
 *
 * @example
 * const schedule = ShutdownSchedule.create({startedMs: clock.now(), graceMs: 8000});
 * schedule.canComplete(request, clock.now());
 */
export class ShutdownSchedule {
	static create({startedMs, graceMs}: {startedMs: Ms; graceMs: Ms}): ShutdownSchedule {
		return new ShutdownSchedule(startedMs, graceMs, endOf(startedMs, graceMs));
	}

	/** Time at which the requests in progress are ended, except responses that have begun. */
	readonly endMs: Ms;
	/** Time until which new requests are accepted. */
	readonly acceptUntilMs: Ms;
	/** Earliest time at which a VM without requests in progress stops. */
	readonly idleStopMs: Ms;
	/** Deadline of targets: one that cannot answer by then answers that it has failed while this VM can still pass it on. */
	readonly targetDeadlineMs: Ms;

	/** `lastEndMs` is the time at which responses that have begun are ended: that of the grace period at SIGTERM. */
	private constructor(private readonly startedMs: Ms, private readonly graceMs: Ms, readonly lastEndMs: Ms) {
		this.endMs = endOf(startedMs, graceMs);
		this.acceptUntilMs = Math.min(startedMs + acceptMs, this.endMs);
		this.idleStopMs = Math.min(startedMs + minDrainMs, this.endMs);
		this.targetDeadlineMs = this.endMs - answerMarginMs;
	}

	/**
	 * Returns the schedule for a changed grace period. A longer one changes nothing: the time of the forced end is set with
	 * SIGTERM. A shorter one may or may not move it, so that other requests end by the shorter one, but responses that have
	 * begun, which would be cut in either case, go on. One that is over already does not count: the process still runs.
	 */
	withGrace(graceMs: Ms, now: Ms): ShutdownSchedule {
		return graceMs < this.graceMs && this.startedMs + graceMs > now ? new ShutdownSchedule(this.startedMs, graceMs, this.lastEndMs) : this;
	}

	/** Next time at which something ends. */
	nextEndMs(now: Ms): Ms {
		return now < this.endMs ? this.endMs : this.lastEndMs;
	}

	/** Deadline of the target of a request; a stream that has begun has until the last end. */
	deadlineOfTarget({hasBegun}: {hasBegun: boolean}): Ms {
		return hasBegun ? this.lastEndMs - answerMarginMs : this.targetDeadlineMs;
	}

	/** Whether a stream that has begun can go on at another target for long enough to be worth it; it is broken off in either case if it does not end before. */
	canGoOn(now: Ms): boolean {
		return now + minRunMs <= this.deadlineOfTarget({hasBegun: true});
	}

	/** Whether a request that is sent to a target now can end before this VM does. */
	canComplete(request: ScheduledRequest, now: Ms): boolean {
		return now + requiredMs(request, now) <= this.targetDeadlineMs;
	}
}

function endOf(startedMs: Ms, graceMs: Ms): Ms {
	return startedMs + Math.max(0, graceMs - Math.min(closeMargin.ms, graceMs * closeMargin.share));
}

/**
 * Returns the time that a request is given. One that may be repeated costs its caller little if it is cut after all, so its
 * typical duration is enough. One that may not be repeated is lost then: it needs its whole time budget, unless recent
 * requests show that it takes far less.
 */
function requiredMs({route, deadlineMs, estimate}: ScheduledRequest, now: Ms): Ms {
	const leftMs = Math.max(0, deadlineMs - now);
	const expectedMs = isRetryable(route)
		? (estimate ? estimate.typicalMs * repeatableFactor : route.objectiveMs * unmeasuredObjectives)
		: (estimate && estimate.samples >= minSamples ? estimate.longestMs * nonRepeatableFactor : leftMs);
	return Math.min(leftMs, Math.max(minRunMs, expectedMs));
}
