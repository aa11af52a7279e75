import type {Ms} from '../clock/index.js';

/** Weight of the latest request in the moving average. */
const smoothingFactor = 0.1;
/** Duration of one of the two windows over which the longest request is kept. */
const windowMs: Ms = 30_000;
/** Maximum number of routes with durations; the one updated least recently is dropped. */
const maxRoutes = 1000;

/** Durations of recent requests of a route, in proportion to the size of the request in question if that is larger than theirs. */
export interface DurationEstimate {
	/** Moving average. */
	readonly typicalMs: Ms;
	/** Longest in the last 30 to 60 s. */
	readonly longestMs: Ms;
	/** Number of requests in that time. */
	readonly samples: number;
}

interface DurationWindow {
	longestMs: Ms;
	largestSize: number;
	samples: number;
}

interface Durations {
	typicalMs: Ms;
	typicalSize: number;
	windowEndMs: Ms;
	current: DurationWindow;
	previous: DurationWindow;
}

/**
 * Recent durations of requests by route name, as a basis for whether another one can end in time. The size of a request is
 * in any unit with which its duration grows, the same for all requests of a route.
 *
 * @example
 * durations.record('draft', {tookMs: 1500, size: 80}, clock.now());
 * durations.estimate('draft', 200, clock.now())?.longestMs;
 */
export class RouteDurations {
	static create(): RouteDurations {
		return new RouteDurations();
	}

	readonly #routes = new Map<string, Durations>();

	private constructor() {}

	/** Records a request that has ended. */
	record(route: string, {tookMs, size}: {tookMs: Ms; size: number}, now: Ms): void {
		const durations = this.#routes.get(route) ?? {
			typicalMs: tookMs, typicalSize: size, windowEndMs: now + windowMs, current: emptyWindow(), previous: emptyWindow(),
		};
		this.#rotate(durations, now);
		const {current} = durations;
		durations.typicalMs += smoothingFactor * (tookMs - durations.typicalMs);
		durations.typicalSize += smoothingFactor * (size - durations.typicalSize);
		current.longestMs = Math.max(current.longestMs, tookMs);
		current.largestSize = Math.max(current.largestSize, size);
		current.samples++;
		this.#routes.delete(route);
		this.#routes.set(route, durations);
		if (this.#routes.size > maxRoutes) {
			this.#routes.delete(this.#routes.keys().next().value!);
		}
	}

	/** Returns the recent durations of a route for a request of this size; `undefined` if it had no request in that time. */
	estimate(route: string, size: number, now: Ms): DurationEstimate | undefined {
		const durations = this.#routes.get(route);
		if (!durations) {
			return undefined;
		}

		this.#rotate(durations, now);
		const {current, previous, typicalMs, typicalSize} = durations;
		const samples = current.samples + previous.samples;
		return samples === 0
			? undefined
			: {
				typicalMs: typicalMs * growth(size, typicalSize),
				longestMs: Math.max(current.longestMs, previous.longestMs) * growth(size, Math.max(current.largestSize, previous.largestSize)),
				samples,
			};
	}

	#rotate(durations: Durations, now: Ms): void {
		if (now < durations.windowEndMs) {
			return;
		}

		durations.previous = now < durations.windowEndMs + windowMs ? durations.current : emptyWindow();
		durations.current = emptyWindow();
		durations.windowEndMs = now + windowMs;
	}
}

function emptyWindow(): DurationWindow {
	return {longestMs: 0, largestSize: 0, samples: 0};
}

/** Returns the factor by which a request of this size takes longer than one of the known size, at least 1: part of a duration does not depend on the size. */
function growth(size: number, knownSize: number): number {
	return knownSize > 0 ? Math.max(1, size / knownSize) : 1;
}
