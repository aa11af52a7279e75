import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {RateSchedule} from './rate-schedule.js';

describe('RateSchedule', () => {
	it('gives a waiting request the next place and turns the others away until one is free', () => {
		const schedule = RateSchedule.create(1, 0);
		expect([schedule.reserve(0, 0), schedule.reserve(0, 0), schedule.reserve(0, 1500), schedule.reserve(0, 1500)]).toEqual([{waitMs: 0}, {retryAfterMs: 1000}, {waitMs: 1000}, {retryAfterMs: 500}]);
	});

	it('lets a request through now and then at a limit of zero', () => {
		const schedule = RateSchedule.create(0, 0);
		let sent = 0;
		for (let now = 0; now < 60_000; now += 100) {
			sent += 'waitMs' in schedule.reserve(now, 0) ? 1 : 0;
		}

		expect([sent > 3, sent <= 8]).toEqual([true, true]);
	});

	it('never lets more through in a window than its rate and a burst, whatever is asked for and whenever the rate changes down', () => {
		const request = fc.record({gapMs: fc.integer({min: 0, max: 400}), maxWaitMs: fc.integer({min: 0, max: 3000})});
		fc.assert(fc.property(fc.double({min: 0.1, max: 20, noNaN: true}), fc.array(request, {maxLength: 200}), (perSecond, requests) => {
			const schedule = RateSchedule.create(perSecond, 0);
			const sentMs: number[] = [];
			let now = 0;
			for (const {gapMs, maxWaitMs} of requests) {
				now += gapMs;
				const reservation = schedule.reserve(now, maxWaitMs);
				if ('waitMs' in reservation) {
					sentMs.push(now + reservation.waitMs);
				}
			}

			for (const start of sentMs) {
				expect(sentMs.filter(at => at >= start && at < start + 4000).length).toBeLessThanOrEqual(Math.ceil(perSecond * 4) + 2);
			}
		}), {seed: 27, numRuns: 300});
	});
});
