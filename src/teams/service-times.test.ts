import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {Random} from '../random/index.js';
import {ServiceTimes} from './service-times.js';

// Guards against a mean or quantiles that do not converge to the measurements.
test('mean and quantiles converge to the measured ratios', () => {
	const times = ServiceTimes.create(ManualClock.create());
	const random = Random.create(3);
	expect(times.ratios('pool')).toEqual({mean: 1, low: 0, high: 1});
	for (let call = 0; call < 2000; call++) {
		times.add('pool', {estimatedMs: 100, measuredMs: 100 + (100 * random.float())});
	}

	const {mean, low, high} = times.ratios('pool');
	expect(mean).toBeGreaterThan(1.3);
	expect(mean).toBeLessThan(1.7);
	expect(low).toBeLessThan(1.25);
	expect(high).toBeGreaterThan(1.75);
});

// Guards against a pool whose requests are rejected indefinitely after a freeze, because no calls are measured.
test('old measurements decay', async () => {
	const clock = ManualClock.create();
	const times = ServiceTimes.create(clock);
	times.add('pool', {estimatedMs: 10, measuredMs: 100_000});
	expect(times.ratios('pool').mean).toBe(20);
	await clock.advance(120_000);
	expect(times.ratios('pool').mean).toBeLessThan(1.1);
});
