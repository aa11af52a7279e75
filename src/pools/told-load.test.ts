import {expect, it} from 'vitest';
import {ToldLoad} from './told-load.js';

// Guards against decisions by a load that was told long ago, and by one that makes no sense.
it('counts a told load in full when fresh, less with its age, and none that was not told', () => {
	const told = ToldLoad.create();
	expect([told.slowdown(0), told.queueMs(300, 0), told.tellsSlowdown]).toEqual([1, 0, false]);
	told.update({
		running: 1, waiting: 2, slots: 1, slowdown: 2.5,
	}, 1000);
	expect([told.slowdown(1000), told.slowdown(1300), told.queueMs(300, 1000), told.queueMs(300, 1200), told.queueMs(300, 5000)]).toEqual([2.5, 1.75, 600, 400, 0]);
	expect(told.slowdown(4000)).toBeLessThan(1.01);
	told.update({
		running: 0, waiting: 0, slots: 1, slowdown: 0,
	}, 5000);
	expect(told.slowdown(5000)).toBeCloseTo(0.1);
	told.update(undefined, 6000);
	expect(told.slowdown(6000)).toBe(1);
});

// Guards against a call timeout beyond what a timer takes, by a target that names an absurd number of waiting calls.
it('bounds the time that waiting calls are expected to take', () => {
	const told = ToldLoad.create();
	told.update({
		running: 1, waiting: Number.MAX_SAFE_INTEGER, slots: 1, slowdown: undefined,
	}, 1000);
	expect(told.queueMs(300, 1000)).toBe(10_000);
});
