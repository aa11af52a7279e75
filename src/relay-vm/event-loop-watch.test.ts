import {expect, it} from 'vitest';
import {
	ManualClock, type CancelTimer, type Clock, type Ms,
} from '../clock/index.js';
import {createLoggerFactory, silentLoggerFactory} from '../logging/index.js';
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

it('logs the processor time that the process used meanwhile, which tells work from a process that was not scheduled', async () => {
	const clock = new LateClock();
	const lines: string[] = [];
	const cpuTimes = [100, 130];
	const watch = EventLoopWatch.create({
		clock: clock as unknown as Clock,
		logger: createLoggerFactory({
			process: 'vm-1', level: 'info', writeLine(line) {
				lines.push(line);
			},
		})('entry-vm'),
		onDelay: () => undefined,
		cpuTimeMs: () => cpuTimes.shift() ?? 0,
	});
	watch.start();
	clock.lateMs = 900;
	await clock.advance(250);
	watch.close();
	expect(lines.map(line => JSON.parse(line))).toMatchObject([{held_ms: 900, cpu_ms: 30}]);
});

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
