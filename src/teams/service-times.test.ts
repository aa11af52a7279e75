import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {Random} from '../random/index.js';
import {ServiceTimes} from './service-times.js';

// Guards against quantiles that do not follow the measurements.
test('mean and quantiles follow the measured ratios', () => {
	const times = ServiceTimes.create(ManualClock.create());
	const random = Random.create(3);
	expect(times.of('pool')).toEqual({mean: 1, low: 0, high: 1});
	for (let call = 0; call < 2000; call++) {
		times.add('pool', {estimatedMs: 100, measuredMs: 100 + (100 * random.float())});
	}

	const {mean, low, high} = times.of('pool');
	expect(mean).toBeGreaterThan(1.3);
	expect(mean).toBeLessThan(1.7);
	expect(low).toBeLessThan(1.25);
	expect(high).toBeGreaterThan(1.75);
});

// Guards against a pool that is rejected for ever after a freeze, because nothing is measured any more.
test('old measurements are forgotten', async () => {
	const clock = ManualClock.create();
	const times = ServiceTimes.create(clock);
	times.add('pool', {estimatedMs: 10, measuredMs: 100_000});
	expect(times.of('pool').mean).toBe(20);
	await clock.advance(120_000);
	expect(times.of('pool').mean).toBeLessThan(1.1);
});
