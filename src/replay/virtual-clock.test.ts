import fc from 'fast-check';
import {expect, test} from 'vitest';
import {VirtualClock} from './virtual-clock.js';

// Guards against a heap that runs timers out of order or runs cancelled timers.
test('timers run in order of time and then of creation, and cancelled timers do not run', async () => {
	await fc.assert(fc.asyncProperty(fc.array(fc.tuple(fc.integer({min: 0, max: 20}), fc.boolean()), {maxLength: 60}), async entries => {
		const clock = VirtualClock.create();
		const ran: Array<{at: number; index: number}> = [];
		for (const [index, [delay, isCancelled]] of entries.entries()) {
			const cancel = clock.after(delay, () => {
				ran.push({at: clock.now(), index});
			});
			if (isCancelled) {
				cancel();
			}
		}

		await clock.advance(30);
		const expected = entries.map(([at, isCancelled], index) => ({at, index, isCancelled}))
			.filter(entry => !entry.isCancelled)
			.sort((left, right) => left.at - right.at || left.index - right.index)
			.map(({at, index}) => ({at, index}));
		expect(ran).toEqual(expected);
		expect(clock.now()).toBe(30);
	}), {seed: 11, numRuns: 60});
});

// Guards against skipping timers that a promise continuation sets.
test('promises settle between timers', async () => {
	const clock = VirtualClock.create();
	const seen: number[] = [];
	const run = async () => {
		for (let step = 0; step < 3; step++) {
			await clock.sleep(10);
			seen.push(clock.now());
		}
	};

	const done = run();
	await clock.advance(25);
	expect(seen).toEqual([10, 20]);
	await clock.advance(5);
	await done;
	expect(seen).toEqual([10, 20, 30]);
});
