import type {Ms} from '../clock/index.js';

/** Maximum number of places that are remembered to tell a request its position; the latest ones count beyond it only as work. */
const maxRememberedPlaces = 1000;

/** A refused request, as the schedule of returns needs it. */
export interface RefusedWork {
	/** Time until the present backlog leaves room for the request. */
	readonly excessMs: Ms;
	/** Time for which the request's own work occupies each pool that it needs, at the rate for returns, by service. */
	readonly work: ReadonlyMap<string, Ms>;
	/** Time until its deadline. */
	readonly remainingMs: Ms;
	/** Time that it takes to be served without waiting. */
	readonly serviceMs: Ms;
}

/** When a refused request returns. */
export interface ReturnPlace {
	/** Delay until the return; beyond the request's remaining time if it has no chance. */
	readonly retryAfterMs: Ms;
	/** Number of places before this one that are still to come. */
	readonly position: number;
	/** Whether the request can be served in its time after the return; only then does it hold a place. */
	readonly hasChance: boolean;
}

/**
 * Virtual queue of refused requests. Each gets the time at which the work of those refused before it will be done, so that
 * they return at the rate at which the pools can serve them instead of all at once. It handles the load in which many
 * requests are refused at the same moment.
 *
 * @example
 * schedule.place({excessMs: 300, work: new Map([['archive', 40]]), remainingMs: 6000, serviceMs: 500}, now); // {retryAfterMs: 300, position: 0, hasChance: true}
 */
export class ReturnSchedule {
	static create(): ReturnSchedule {
		return new ReturnSchedule();
	}

	/** Time at which the returns that are scheduled will have been served, by service. */
	readonly #tails = new Map<string, Ms>();
	#places: Ms[] = [];

	private constructor() {}

	/** Gives a refused request its time of return. */
	place(refused: RefusedWork, now: Ms): ReturnPlace {
		const {excessMs, work, remainingMs, serviceMs} = refused;
		this.#dropPast(now);
		const earliestMs = now + Math.max(0, excessMs);
		const atMs = Math.max(earliestMs, ...[...work.keys()].map(service => this.#tails.get(service) ?? 0));
		const delayMs = atMs - now;
		const position = this.positionAt(atMs, now);
		const latestMs = remainingMs - serviceMs;
		if (delayMs > latestMs) {
			return {retryAfterMs: Math.max(0, remainingMs) + Math.min(delayMs, delayMs - latestMs), position, hasChance: false};
		}

		for (const [service, workMs] of work) {
			this.#tails.set(service, Math.max(earliestMs, this.#tails.get(service) ?? 0) + workMs);
		}

		if (this.#places.length < maxRememberedPlaces) {
			this.#places.push(atMs);
		}

		return {retryAfterMs: delayMs, position, hasChance: true};
	}

	/** Returns the number of places from now on up to a time. */
	positionAt(atMs: Ms, now: Ms): number {
		return this.#places.filter(place => place > now && place <= atMs).length;
	}

	#dropPast(now: Ms): void {
		this.#places = this.#places.filter(place => place > now);
		for (const [service, tailMs] of this.#tails) {
			if (tailMs <= now) {
				this.#tails.delete(service);
			}
		}
	}
}
