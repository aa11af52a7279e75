import type {Ms} from '../clock/index.js';
import {ReturnSchedule} from './return-schedule.js';

/** Time in which answers count toward the rate of a service, by exponential decay. */
const decayMs: Ms = 2000;
/** Weight of the latest answer in the moving average of the times. */
const smoothing = 0.1;
/** Delay and interval of returns to a service that has not answered lately, so that nothing is known of its pace. */
const unknownDelayMs: Ms = 100;
const unknownIntervalMs: Ms = 10;
/** Interval beyond which a service counts as one that has not answered lately. */
const maxIntervalMs: Ms = 2000;
/** Maximum number of services; the one that answered least recently is dropped. */
const maxServices = 1000;

type Pace = {tookMs: Ms; answers: number; atMs: Ms};

/**
 * Pace at which the targets of each service answer the requests of this entry VM, from which a request that they all
 * refused is told when to return: after the time that requests take there now, and one after the other at the rate of
 * the answers. It handles the load in which the targets of a plain service are full.
 *
 * @example
 * pace.recordAnswer('look-ups', 86, now);
 * pace.retryAfterMs('look-ups', 5000, now); // 86
 */
export class ServicePace {
	static create(): ServicePace {
		return new ServicePace();
	}

	readonly #paces = new Map<string, Pace>();
	readonly #returns = ReturnSchedule.create();

	private constructor() {}

	/** Records an answer, with the time since the request was sent to the target, its wait there included. */
	recordAnswer(service: string, tookMs: Ms, now: Ms): void {
		const pace = this.#paces.get(service);
		this.#paces.delete(service);
		this.#paces.set(service, {
			tookMs: pace ? pace.tookMs + (smoothing * (tookMs - pace.tookMs)) : tookMs, answers: (pace ? recentAnswers(pace, now) : 0) + 1, atMs: now,
		});
		if (this.#paces.size > maxServices) {
			this.#paces.delete(this.#paces.keys().next().value!);
		}
	}

	/** Returns the delay after which a refused request may return; beyond its remaining time if it has no chance. */
	retryAfterMs(service: string, remainingMs: Ms, now: Ms): Ms {
		const pace = this.#paces.get(service);
		const intervalMs = pace ? decayMs / recentAnswers(pace, now) : Infinity;
		const isKnown = pace !== undefined && intervalMs <= maxIntervalMs;
		const tookMs = isKnown ? pace.tookMs : unknownDelayMs;
		return this.#returns.place({
			excessMs: tookMs, work: new Map([[service, isKnown ? intervalMs : unknownIntervalMs]]), remainingMs, serviceMs: tookMs,
		}, now).retryAfterMs;
	}
}

function recentAnswers({answers, atMs}: Pace, now: Ms): number {
	return answers * Math.exp((atMs - now) / decayMs);
}
