import type {Ms} from '../clock/index.js';
import type {TargetLoad} from '../registry/index.js';

/** Half-life of a reported slowdown, half of the time for which other work usually slows a machine down. */
const halfLifeMs: Ms = 300;
/** Bounds of a reported slowdown that is used; others are taken for errors of the target. */
const slowdownBounds = {min: 0.1, max: 20};
/** Age from which waiting calls are taken to be done. */
const maxQueueAgeMs: Ms = 1000;
/** Longest expected time of waiting calls; a target that reports more of them is taken to be in error, and would get calls with timeouts of any length. */
const maxQueueMs: Ms = 10_000;

/**
 * The load that a target has reported in its latest response. It changes many times a second, so that it counts in full when
 * fresh and fades with its age.
 */
export class ReportedLoad {
	static create(): ReportedLoad {
		return new ReportedLoad();
	}

	#load: TargetLoad | undefined;
	#atMs: Ms = -Infinity;

	private constructor() {}

	/** Whether the latest response reported how long work takes. */
	get reportsSlowdown(): boolean {
		return this.#load?.slowdown !== undefined;
	}

	/** Replaces the load; `undefined` if a response reported none. */
	update(load: TargetLoad | undefined, now: Ms): void {
		this.#load = load;
		this.#atMs = now;
	}

	/** Returns the reported time of work as a multiple of the usual one; 1 if none was reported, or long ago. */
	slowdown(now: Ms): number {
		const reported = this.#load?.slowdown ?? 1;
		const bounded = Math.max(slowdownBounds.min, Math.min(slowdownBounds.max, reported));
		return 1 + ((bounded - 1) * (0.5 ** (Math.max(0, now - this.#atMs) / halfLifeMs)));
	}

	/** Returns the expected time until calls of other senders that waited at the target are done, when each takes `callMs`. */
	queueMs(callMs: Ms, now: Ms): Ms {
		const ageMs = now - this.#atMs;
		return this.#load === undefined || ageMs > maxQueueAgeMs ? 0 : Math.max(0, Math.min(maxQueueMs, this.#load.waiting * callMs / Math.max(1, this.#load.slots)) - ageMs);
	}
}
