import type {Ms} from '../clock/index.js';
import {isRetryable, type Route} from '../routes/index.js';
import type {CallerHead} from './relay-codec.js';

/** Minimum remaining time with which a request is sent to a target. */
const minRemainingMs: Ms = 15;
/** Allowance for the network transit of a response that the target sends just before its deadline. */
const responseTransitMs: Ms = 40;
/** Time to the first token without queueing and prefill. */
const baseFirstTokenMs: Ms = 60;
/** Prefill throughput of an engine, in prompt tokens per ms. */
const prefillTokensPerMs = 50;
/** Delay beyond the expected time to the first token after which an engine is probed. */
const probeMarginMs: Ms = 500;
/** Share of the latency objective allotted to the first attempt of a retryable request, so that a second one can still meet it. */
const firstAttemptShare = 0.75;
/** Timeout of the first token of a retryable stream before it is sent to another target, as a multiple of its objective. */
const firstTokenTimeoutFactor = 2;
/** Callers abandon a stream after a pause, also before its first event, that is longer than the minimum and these multiples of the objectives. */
const callerPatience = {minMs: 2000, objectiveFactor: 4, pauseFactor: 8};
/** Time without an event after which a stream that may go on at another target does so, even if its target responds to probes, because its connection may be half-open. */
const resumeAfterMs: Ms = 1100;
/** Time without an event after which a stream ends, as a multiple of its caller's patience: callers measure pauses from when events reach them, and are the first to leave. */
const streamEndFactor = 2;

/** Maximum time for which a prompt waits for room at an engine; requests at engines take a few hundred ms, longer waits are for the caller. */
const maxRoomWaitMs: Ms = 400;

/** Options of `TimeBudget`. */
export interface TimeBudgetOptions {
	readonly route: Route;
	readonly head: Pick<CallerHead, 'timeoutMs' | 'prompt'>;
	readonly arrivedMs: Ms;
}

/**
 * Deadlines and timeouts of one request, on the monotonic clock.
 *
 * @example
 * const budget = TimeBudget.create({route, head, arrivedMs: clock.now()});
 */
export class TimeBudget {
	static create(options: TimeBudgetOptions): TimeBudget {
		return new TimeBudget(options);
	}

	/** The caller's deadline or the route's timeout, whichever is earlier. */
	readonly deadlineMs: Ms;
	readonly #objectiveMs: Ms;
	/** Expected time to the first token without queueing. */
	readonly #firstTokenMs: Ms;

	private constructor(private readonly options: TimeBudgetOptions) {
		const {route, head, arrivedMs} = options;
		this.deadlineMs = arrivedMs + Math.min(head.timeoutMs ?? route.timeoutMs, route.timeoutMs);
		this.#objectiveMs = arrivedMs + route.objectiveMs;
		this.#firstTokenMs = baseFirstTokenMs + ((head.prompt?.inputTokens ?? 0) / prefillTokensPerMs);
	}

	/** Latest time to start the call that follows the stages so that the objective can still be met. */
	get latestCallStartMs(): Ms {
		return this.#objectiveMs - this.#firstTokenMs;
	}

	/**
	 * Time after which stage results are useless, because the next token would come after the deadline or after the caller
	 * has abandoned the stream, whose last event was at `lastEventMs`.
	 */
	stagesDeadlineMs(lastEventMs: Ms = this.options.arrivedMs): Ms {
		const patienceMs = this.options.route.kind === 'stream' ? this.#callerPatienceMs : Infinity;
		return Math.min(this.deadlineMs, lastEventMs + patienceMs) - this.#firstTokenMs;
	}

	/** Time without a complete event after which a stream goes on at another target, if that is possible. */
	resumeStreamAfterMs(mayRetry: boolean): Ms {
		return isRetryable(this.options.route) && mayRetry ? resumeAfterMs : this.streamEndMs;
	}

	/** Time without a complete event after which a stream ends: its caller has abandoned it by then. */
	get streamEndMs(): Ms {
		return streamEndFactor * this.#callerPatienceMs;
	}

	/** Pause after which callers abandon a stream. */
	get #callerPatienceMs(): Ms {
		const {objectiveMs, pauseObjectiveMs = 0} = this.options.route;
		return Math.max(callerPatience.minMs, callerPatience.objectiveFactor * objectiveMs, callerPatience.pauseFactor * pauseObjectiveMs);
	}

	/** Time until which a prompt waits for an engine that has room for it. */
	roomDeadlineMs(now: Ms): Ms {
		return Math.min(now + maxRoomWaitMs, Math.max(now, this.latestCallStartMs));
	}

	/** True while the request may be sent to a target. */
	hasTime(now: Ms): boolean {
		return this.deadlineMs - now >= minRemainingMs;
	}

	/** Time remaining until the deadline or until `latestMs`, whichever is earlier; at least 1 ms. */
	remainingMs(now: Ms, latestMs: Ms = Infinity): Ms {
		return Math.max(1, Math.min(this.deadlineMs, latestMs) - now);
	}

	/** Time without response data after which another target is tried, if that is possible; `mayRetry` is true if another attempt is allowed after this one. */
	responseTimeoutMs(now: Ms, mayRetry: boolean): Ms {
		const {route} = this.options;
		const remainingMs = this.deadlineMs - now + responseTransitMs;
		if (!isRetryable(route) || !mayRetry) {
			return remainingMs;
		}

		const attemptMs = route.kind === 'stream'
			? Math.max(this.#objectiveMs - now, 0) + (route.objectiveMs * (firstTokenTimeoutFactor - 1))
			: Math.max(route.objectiveMs * firstAttemptShare, this.#objectiveMs - now - (route.objectiveMs * (1 - firstAttemptShare)));
		return Math.min(remainingMs, attemptMs);
	}

	/** Time without a first token after which an engine is probed, given the prompt tokens pending there. */
	probeAfterMs(pendingTokens: number): Ms {
		return this.#firstTokenMs + (pendingTokens / prefillTokensPerMs) + probeMarginMs;
	}
}
