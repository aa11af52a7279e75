import {expect, test} from 'vitest';
import {TargetSpeed} from './target-speed.js';

// Guards against a limit that ignores latency, collapses within one round of calls, or never recovers.
test('the limit decreases while calls are slow and recovers afterwards', () => {
	const speed = TargetSpeed.create(8);
	let now = 0;
	for (let call = 0; call < 40; call++) {
		now += 50;
		speed.recordSuccess(now, {expectedMs: 100, measuredMs: 500});
	}

	expect(speed.limit).toBeLessThan(8);
	expect(speed.limit).toBeGreaterThan(2);
	expect(speed.slowdown(now)).toBeGreaterThan(4);
	for (let call = 0; call < 100; call++) {
		now += 50;
		speed.recordSuccess(now, {expectedMs: 100, measuredMs: 100});
	}

	expect(speed.limit).toBe(8);
	expect(speed.slowdown(now)).toBeCloseTo(1, 1);
});

// Guards against a limit of 0, with which no call could be sent and measured again.
test('failures never decrease the limit below one call', () => {
	const speed = TargetSpeed.create(8);
	for (let call = 0; call < 100; call++) {
		speed.recordFailure(call * 1000, 10);
	}

	expect(speed.limit).toBe(1);
});

// Guards against a target that is avoided permanently after one slow measurement.
test('a slowdown decays over time', () => {
	const speed = TargetSpeed.create(8);
	speed.recordSuccess(0, {expectedMs: 100, measuredMs: 1000});
	expect(speed.slowdown(0)).toBeGreaterThan(2);
	expect(speed.slowdown(60_000)).toBeCloseTo(1, 1);
});
