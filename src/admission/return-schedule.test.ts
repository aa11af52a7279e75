import {describe, expect, it} from 'vitest';
import {ReturnSchedule} from './return-schedule.js';

const work = new Map([['archive', 20]]);

describe('ReturnSchedule', () => {
	// Guards against callers that are refused together, come back together and are refused again.
	it('spreads many that are refused at once over the time in which the pool can serve them', () => {
		const schedule = ReturnSchedule.create();
		const places = Array.from({length: 400}, () => schedule.place({
			excessMs: 300, work, remainingMs: 6000, serviceMs: 500,
		}, 1000));
		const returns = places.filter(({hasChance}) => hasChance).map(({retryAfterMs}) => retryAfterMs);
		// Each needs 20 ms of the pool, and the first chance is after 300 ms, the last one after 5500 ms.
		expect(returns).toHaveLength(261);
		for (let from = 0; from < 6000; from += 200) {
			expect(returns.filter(delay => delay >= from && delay < from + 200).length).toBeLessThanOrEqual(200 / 20);
		}
	});

	it('tells requests without a chance a time beyond their remaining time, and gives them no place', () => {
		const schedule = ReturnSchedule.create();
		const hopeless = schedule.place({
			excessMs: 900, work, remainingMs: 1000, serviceMs: 500,
		}, 0);
		expect(hopeless).toMatchObject({hasChance: false});
		expect(hopeless.retryAfterMs).toBeGreaterThan(1000);
		expect(schedule.place({
			excessMs: 0, work, remainingMs: 6000, serviceMs: 500,
		}, 0)).toEqual({retryAfterMs: 0, position: 0, hasChance: true});
	});

	it('sends a request that needs several pools back when the busiest one has room', () => {
		const schedule = ReturnSchedule.create();
		const refused = {excessMs: 5, remainingMs: 6000, serviceMs: 100};
		schedule.place({...refused, work: new Map([['press', 700]])}, 0);
		expect(schedule.place({...refused, work: new Map([['archive', 10], ['press', 10]])}, 0)).toMatchObject({retryAfterMs: 705, position: 1});
		expect(schedule.place({...refused, work: new Map([['archive', 10]])}, 0)).toMatchObject({retryAfterMs: 15});
	});

	it('forgets places once their time has come', () => {
		const schedule = ReturnSchedule.create();
		const refused = {
			excessMs: 0, work, remainingMs: 6000, serviceMs: 100,
		};
		schedule.place(refused, 0);
		schedule.place(refused, 0);
		expect(schedule.place(refused, 100)).toEqual({retryAfterMs: 0, position: 0, hasChance: true});
	});
});
