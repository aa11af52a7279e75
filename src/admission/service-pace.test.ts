import {describe, expect, it} from 'vitest';
import {ServicePace} from './service-pace.js';

describe('ServicePace', () => {
	// Guards against callers of a full service that all return after the same fixed delay.
	it('sends refused requests back after the measured time, at the rate of the answers', () => {
		const pace = ServicePace.create();
		for (let now = 0; now < 10_000; now += 20) {
			pace.recordAnswer('look-ups', 86, now);
		}

		const delays = Array.from({length: 50}, () => pace.retryAfterMs('look-ups', 5000, 10_000));
		expect(delays[0]).toBeCloseTo(86);
		expect((delays[49]! - delays[0]!) / 49).toBeCloseTo(20, 0);
	});

	it('follows a service that becomes slower', () => {
		const pace = ServicePace.create();
		pace.recordAnswer('look-ups', 20, 0);
		for (let now = 0; now < 2000; now += 20) {
			pace.recordAnswer('look-ups', 400, now);
		}

		expect(pace.retryAfterMs('look-ups', 5000, 2000)).toBeGreaterThan(390);
	});

	it('spreads returns to a service that has not answered lately a little', () => {
		const pace = ServicePace.create();
		pace.recordAnswer('look-ups', 20, 0);
		expect([pace.retryAfterMs('look-ups', 5000, 20_000), pace.retryAfterMs('look-ups', 5000, 20_000)]).toEqual([100, 110]);
	});

	it('tells a request that has no time left a time beyond its deadline', () => {
		const pace = ServicePace.create();
		pace.recordAnswer('look-ups', 600, 0);
		expect(pace.retryAfterMs('look-ups', 500, 0)).toBeGreaterThan(500);
	});
});
