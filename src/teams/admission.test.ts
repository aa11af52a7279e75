import {expect, test} from 'vitest';
import {Admission, type PoolLoad} from './admission.js';
import {TeamShares} from './team-shares.js';

const admission = Admission.create();
const ratios = {mean: 1, low: 1, high: 1};
const busy: PoolLoad = {
	slots: 10, freeSlots: 0, meanServiceMs: 100, nextSlotMs: 10,
};

function sharesWithBacklog(): TeamShares {
	const shares = TeamShares.create('pool', () => 1);
	shares.callStarted('large', 1000);
	shares.addQueued('large', 90_000);
	return shares;
}

// Guards against rejecting a small team because a large team has filled the queue.
test('the backlog of a large team does not affect the admission of a small one', () => {
	const shares = sharesWithBacklog();
	const waits = ['large', 'small'].map(team => admission.waitMs(team, shares, busy));
	expect(waits[0]).toBeGreaterThan(9000);
	expect(waits[1]).toBe(10);
	expect(admission.decide(9000, [{waitMs: waits[0]!, serviceMs: 100, ratios}])).toMatchObject({admitted: false, reason: 'overloaded'});
	expect(admission.decide(9000, [{waitMs: waits[1]!, serviceMs: 100, ratios}])).toEqual({admitted: true, predictedMs: 110});
});

// Guards against rejecting requests while slots are free.
test('the predicted wait is zero while free slots exceed the queue', () => {
	expect(admission.waitMs('any', TeamShares.create('pool', () => 1), {...busy, freeSlots: 1})).toBe(0);
});

// Guards against a prediction that omits stages or ignores measured service times.
test('the prediction sums wait and measured service time over all stages', () => {
	const slow = {mean: 2, low: 1, high: 3};
	const stages = [{waitMs: 0, serviceMs: 100, ratios}, {waitMs: 0, serviceMs: 100, ratios: slow}];
	expect(admission.decide(300, stages)).toEqual({admitted: true, predictedMs: 300});
	expect(admission.decide(299, stages)).toMatchObject({admitted: false, reason: 'overloaded'});
	// While requests wait, the prediction includes the tail of the service time.
	expect(admission.decide(350, [stages[0]!, {...stages[1]!, waitMs: 10}])).toMatchObject({admitted: false, predictedMs: 410});
});

// Guards against admitting a request that no target can serve.
test('a request with a stage without targets is rejected as no_target', () => {
	expect(admission.decide(9000, [{waitMs: 0, serviceMs: 1, ratios}, undefined])).toMatchObject({admitted: false, reason: 'no_target'});
});
