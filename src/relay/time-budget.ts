import type {Ms} from '../clock/index.js';
import {isRepeatable, type Route} from '../routes/index.js';
import type {CallerHead} from './relay-codec.js';

/** Least time left for which a request is sent to a target. */
const leastLeftMs: Ms = 15;
/** Time for an answer to travel from the target, so that one at the last moment is still delivered. */
const answerSlackMs: Ms = 40;
/** Time to a first token without waiting, beyond the reading of the prompt. */
const firstTokenMs: Ms = 60;
/** Prompt tokens that an engine reads in a ms; measured on the users' engines. */
const prefillTokensPerMs = 50;
/** Time beyond the expected one after which an engine without a first token is probed. */
const probeSlackMs: Ms = 500;
/** Part of an objective within which a repeatable call has to be answered, so that a second one can still meet it. */
const firstTryShare = 0.75;
/** Longest wait for a first token before a repeatable request goes to another engine, as a multiple of its objective. */
const firstTokenFactor = 2;
/** Callers give a stream up when its first event takes longer than the longer of these. */
const patience = {leastMs: 2000, objectives: 4};

/** What the times of a request follow from. */
export interface TimeBudgetOptions {
	readonly route: Route;
	readonly head: Pick<CallerHead, 'waitsMs' | 'prompt'>;
	readonly arrivedMs: Ms;
}

/**
 * The times of one request, all on the monotonic clock: until when it is worth what.
 *
 * @example
 * const budget = TimeBudget.create({route, head, arrivedMs: clock.now()});
 */
export class TimeBudget {
	static create(options: TimeBudgetOptions): TimeBudget {
		return new TimeBudget(options);
	}

	/** The caller's deadline or the route's time-out, whichever is first. */
	readonly deadlineMs: Ms;
	readonly #objectiveMs: Ms;
	/** Expected time to the first token without waiting. */
	readonly #firstTokenMs: Ms;

	private constructor(private readonly options: TimeBudgetOptions) {
		const {route, head, arrivedMs} = options;
		this.deadlineMs = arrivedMs + Math.min(head.waitsMs ?? route.timeoutMs, route.timeoutMs);
		this.#objectiveMs = arrivedMs + route.objectiveMs;
		this.#firstTokenMs = firstTokenMs + ((head.prompt?.inputTokens ?? 0) / prefillTokensPerMs);
	}

	/** Latest start of the last call with which the objective is met. */
	get callByMs(): Ms {
		return this.#objectiveMs - this.#firstTokenMs;
	}

	/** Time after which the stages are of no use: nobody waits for the first event any more. */
	get stagesDeadlineMs(): Ms {
		const {route, arrivedMs} = this.options;
		const patienceMs = route.kind === 'stream' ? Math.max(patience.leastMs, patience.objectives * route.objectiveMs) : Infinity;
		return Math.min(this.deadlineMs, arrivedMs + patienceMs) - this.#firstTokenMs;
	}

	/** True while the request may be sent to a target. */
	hasTime(now: Ms): boolean {
		return this.deadlineMs - now >= leastLeftMs;
	}

	/** What is left for a target, at least 1 ms. */
	leftMs(now: Ms): Ms {
		return Math.max(1, this.deadlineMs - now);
	}

	/** Time without an answer after which an attempt is given up; `hasAnother` tells that one more is allowed after it. */
	answerWithinMs(now: Ms, hasAnother: boolean): Ms {
		const {route} = this.options;
		const leftMs = this.deadlineMs - now + answerSlackMs;
		if (!isRepeatable(route) || !hasAnother) {
			return leftMs;
		}

		const withinMs = route.kind === 'stream'
			? Math.max(this.#objectiveMs - now, 0) + (route.objectiveMs * (firstTokenFactor - 1))
			: Math.max(route.objectiveMs * firstTryShare, this.#objectiveMs - now - (route.objectiveMs * (1 - firstTryShare)));
		return Math.min(leftMs, withinMs);
	}

	/** Time without a first token after which an engine is probed, with so many prompt tokens sent to it and not answered. */
	probeAfterMs(pendingTokens: number): Ms {
		return this.#firstTokenMs + (pendingTokens / prefillTokensPerMs) + probeSlackMs;
	}
}
