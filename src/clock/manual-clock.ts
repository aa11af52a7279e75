import type {CancelTimer, Clock, Ms} from './clock.js';
import {sleepOn} from './sleep.js';

type Timer = {at: Ms; order: number; fn: () => void};

/**
 * Clock for tests and replays whose time changes only through `advance` and `stepWall`.
 *
 * @example
 * const clock = ManualClock.create();
 * await clock.advance(500);
 */
export class ManualClock implements Clock {
	/** Creates a clock with monotonic time `now`, 0 by default, and wall-clock time `wall`. */
	static create({now = 0, wall = 1_700_000_000_000}: {now?: Ms; wall?: Ms} = {}): ManualClock {
		return new ManualClock(now, wall);
	}

	#timers: Timer[] = [];
	#order = 0;

	private constructor(private time: Ms, private wallTime: Ms) {}

	now(): Ms {
		return this.time;
	}

	wall(): Ms {
		return this.wallTime;
	}

	/** Steps the wall clock by `delta` ms without changing the monotonic time. */
	stepWall(delta: Ms): void {
		this.wallTime += delta;
	}

	after(delay: Ms, fn: () => void): CancelTimer {
		const timer = {at: this.time + Math.max(0, delay), order: this.#order++, fn};
		this.#timers.push(timer);
		return () => {
			this.#timers = this.#timers.filter(other => other !== timer);
		};
	}

	async sleep(delay: Ms, signal?: AbortSignal): Promise<void> {
		await sleepOn(this, delay, signal);
	}

	/** Advances the time by `delta` ms. Runs due timers in order and lets pending promises settle between them. */
	async advance(delta: Ms): Promise<void> {
		const end = this.time + delta;
		for (;;) {
			await settlePromises();
			const next = this.#nextTimer();
			if (!next || next.at > end) {
				break;
			}

			this.#timers = this.#timers.filter(timer => timer !== next);
			this.#moveTo(next.at);
			next.fn();
		}

		this.#moveTo(end);
		await settlePromises();
	}

	#nextTimer(): Timer | undefined {
		let next: Timer | undefined;
		for (const timer of this.#timers) {
			if (!next || timer.at < next.at || (timer.at === next.at && timer.order < next.order)) {
				next = timer;
			}
		}

		return next;
	}

	#moveTo(time: Ms): void {
		this.wallTime += time - this.time;
		this.time = time;
	}
}

async function settlePromises(): Promise<void> {
	await new Promise<void>(resolve => {
		setImmediate(resolve);
	});
}
