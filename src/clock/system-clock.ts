import {performance} from 'node:perf_hooks';
import type {CancelTimer, Clock, Ms} from './clock.js';
import {sleepOn} from './sleep.js';

/** Longest delay of a timer of the runtime, in which a longer one fires at once. */
export const maxTimerMs: Ms = 2_147_483_647;

/**
 * Clock that reads the time of the operating system.
 *
 * @example
 * const clock = SystemClock.create();
 */
export class SystemClock implements Clock {
	/** Creates a clock. `skew` shifts its wall clock by that many ms, for tests of processes with clock skew. */
	static create({skew = 0}: {skew?: Ms} = {}): SystemClock {
		return new SystemClock(skew);
	}

	private constructor(private readonly skew: Ms) {}

	now(): Ms {
		return performance.now();
	}

	wall(): Ms {
		return Date.now() + this.skew;
	}

	after(delay: Ms, fn: () => void): CancelTimer {
		let timer: NodeJS.Timeout;
		const start = (leftMs: Ms) => {
			timer = leftMs > maxTimerMs
				? setTimeout(() => {
					start(leftMs - maxTimerMs);
				}, maxTimerMs)
				: setTimeout(fn, leftMs);
		};

		start(delay);
		return () => {
			clearTimeout(timer);
		};
	}

	async sleep(delay: Ms, signal?: AbortSignal): Promise<void> {
		await sleepOn(this, delay, signal);
	}
}
