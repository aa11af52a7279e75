import {expect, it} from 'vitest';
import {ReportedLoad} from './reported-load.js';

// Guards against decisions by a load that was reported long ago, and by one that makes no sense.
it('counts a reported load in full when fresh, less with its age, and none that was not reported', () => {
	const reported = ReportedLoad.create();
	expect([reported.slowdown(0), reported.queueMs(300, 0), reported.reportsSlowdown]).toEqual([1, 0, false]);
	reported.update({
		running: 1, waiting: 2, slots: 1, slowdown: 2.5,
	}, 1000);
	expect([reported.slowdown(1000), reported.slowdown(1300), reported.queueMs(300, 1000), reported.queueMs(300, 1200), reported.queueMs(300, 5000)]).toEqual([2.5, 1.75, 600, 400, 0]);
	expect(reported.slowdown(4000)).toBeLessThan(1.01);
	reported.update({
		running: 0, waiting: 0, slots: 1, slowdown: 0,
	}, 5000);
	expect(reported.slowdown(5000)).toBeCloseTo(0.1);
	reported.update(undefined, 6000);
	expect(reported.slowdown(6000)).toBe(1);
});

// Guards against a call timeout beyond what a timer takes, by a target that names an absurd number of waiting calls.
it('bounds the time that waiting calls are expected to take', () => {
	const reported = ReportedLoad.create();
	reported.update({
		running: 1, waiting: Number.MAX_SAFE_INTEGER, slots: 1, slowdown: undefined,
	}, 1000);
	expect(reported.queueMs(300, 1000)).toBe(10_000);
});
