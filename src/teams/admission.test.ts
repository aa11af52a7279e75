import {expect, test} from 'vitest';
import {Admission, type PoolLoad} from './admission.js';
import {TeamShares} from './team-shares.js';

const admission = Admission.create();
const times = {mean: 1, low: 1, high: 1};
const busy: PoolLoad = {
	slots: 10, freeSlots: 0, meanServiceMs: 100, nextSlotMs: 10,
};

function sharesWithBacklog(): TeamShares {
	const shares = TeamShares.create('pool', () => 1);
	shares.started('large', 1000);
	shares.queued('large', 90_000);
	return shares;
}

// Guards against a small team that is rejected because a large one has filled the queue.
test('the backlog of a large team does not count against a small one', () => {
	const shares = sharesWithBacklog();
	const waits = ['large', 'small'].map(team => admission.waitMs(team, shares, busy));
	expect(waits[0]).toBeGreaterThan(9000);
	expect(waits[1]).toBe(10);
	expect(admission.decide(9000, [{waitMs: waits[0]!, serviceMs: 100, times}])).toMatchObject({admitted: false, reason: 'overloaded'});
	expect(admission.decide(9000, [{waitMs: waits[1]!, serviceMs: 100, times}])).toEqual({admitted: true, predictedMs: 110});
});

// Guards against rejections while slots are free.
test('there is no wait while free slots exceed the queue', () => {
	expect(admission.waitMs('any', TeamShares.create('pool', () => 1), {...busy, freeSlots: 1})).toBe(0);
});

// Guards against a prediction that leaves out stages or measured times.
test('the prediction adds wait and measured service time of all stages', () => {
	const slow = {mean: 2, low: 1, high: 3};
	const stages = [{waitMs: 0, serviceMs: 100, times}, {waitMs: 0, serviceMs: 100, times: slow}];
	expect(admission.decide(300, stages)).toEqual({admitted: true, predictedMs: 300});
	expect(admission.decide(299, stages)).toMatchObject({admitted: false, reason: 'overloaded'});
	// While requests wait, the tail of the service time counts too.
	expect(admission.decide(350, [stages[0]!, {...stages[1]!, waitMs: 10}])).toMatchObject({admitted: false, predictedMs: 410});
});

// Guards against admitting a request that no target can serve.
test('a stage without a target is rejected with its own reason', () => {
	expect(admission.decide(9000, [{waitMs: 0, serviceMs: 1, times}, undefined])).toMatchObject({admitted: false, reason: 'no_target'});
});
