import {expect, it} from 'vitest';
import {
	ManualClock, type CancelTimer, type Clock, type Ms,
} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {EventLoopWatch} from './event-loop-watch.js';

/** Clock whose timers run late by a set time. */
class LateClock {
	lateMs: Ms = 0;
	readonly #manual = ManualClock.create();

	now(): Ms {
		return this.#manual.now() + this.lateMs;
	}

	after(delayMs: Ms, fn: () => void): CancelTimer {
		return this.#manual.after(delayMs, fn);
	}

	async advance(ms: Ms): Promise<void> {
		await this.#manual.advance(ms);
	}
}

it('reports checks that run late, and no others', async () => {
	const clock = new LateClock();
	const delays: Ms[] = [];
	const watch = EventLoopWatch.create({
		clock: clock as unknown as Clock, logger: silentLoggerFactory('entry-vm'), onDelay(delayMs) {
			delays.push(delayMs);
		},
	});
	watch.start();
	await clock.advance(600);
	expect(delays).toEqual([]);
	clock.lateMs = 900;
	await clock.advance(250);
	expect(delays).toEqual([900]);
	watch.close();
	clock.lateMs = 5000;
	await clock.advance(1000);
	expect(delays).toEqual([900]);
});
