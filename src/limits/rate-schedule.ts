import type {Ms} from '../clock/index.js';

/** Requests that may be sent at once after a pause, beyond the first, unless a schedule is created with another number. */
const defaultBurst = 1;
/** Lowest rate: a target with a limit of zero, or close to it, gets a request now and then, whose response tells whether the limit still holds. */
const minPerSecond = 0.1;

/** Place of a request in a schedule, or the time after which it may ask again. */
export type Reservation = {readonly waitMs: Ms} | {readonly retryAfterMs: Ms};

/**
 * Spaces requests evenly to keep a rate. A request takes the next free place if it comes soon enough; the places of
 * requests that wait are taken.
 *
 * @example
 * const schedule = RateSchedule.create(0.5, clock.now());
 * schedule.reserve(clock.now(), 0); // {retryAfterMs: 2000}
 */
export class RateSchedule {
	/** Starts without a burst, since others may have used the rate until now. With a burst of 0, nothing is kept in reserve. */
	static create(perSecond: number, now: Ms, burst = defaultBurst): RateSchedule {
		const schedule = new RateSchedule(Math.max(minPerSecond, perSecond), burst);
		schedule.#nextMs = now + schedule.#intervalMs;
		return schedule;
	}

	/** Time of the next place without a burst. */
	#nextMs: Ms = 0;

	private constructor(private perSecond: number, private readonly burst: number) {}

	get #intervalMs(): Ms {
		return 1000 / this.perSecond;
	}

	/** Changes the rate; places that are taken stay. */
	setRate(perSecond: number): void {
		this.perSecond = Math.max(minPerSecond, perSecond);
	}

	/** Returns the time of the next free place. */
	freeAt(now: Ms): Ms {
		return Math.max(now, this.#nextMs - (this.burst * this.#intervalMs));
	}

	/** Takes the next place if it is free within `maxWaitMs`. */
	reserve(now: Ms, maxWaitMs: Ms): Reservation {
		const waitMs = this.freeAt(now) - now;
		if (waitMs > maxWaitMs) {
			return {retryAfterMs: waitMs - maxWaitMs};
		}

		this.#nextMs = Math.max(now, this.#nextMs) + this.#intervalMs;
		return {waitMs};
	}
}
