import {expect, test} from 'vitest';
import {TeamShares} from './team-shares.js';

const slots = 60;

function createShares(): TeamShares {
	const weights: Record<string, number> = {large: 2, small: 1};
	return TeamShares.create('pool', team => weights[team]!);
}

// Guards against shares withheld for idle teams, and against a team without a share.
test('the pool is divided by weight among active teams only', () => {
	const shares = createShares();
	shares.callStarted('large', 100);
	expect(shares.share('large')).toBe(1);
	expect(shares.share('small')).toBeCloseTo(1 / 3);
	shares.addQueued('small', 100);
	expect(shares.share('large')).toBeCloseTo(2 / 3);
	shares.addQueued('small', -100);
	shares.callEnded('large', 100);
	shares.callStarted('small', 100);
	expect(shares.share('small')).toBe(1);
});

// Guards against several entry VMs that each use the whole share of a team.
test('entry VMs divide a team\'s share in proportion to its work at each', () => {
	const [one, two] = [createShares(), createShares()];
	one.addQueued('large', 900);
	two.addQueued('large', 300);
	const [first, second] = [one.publish(), two.publish()];
	one.setPeerWork(new Map([['large', second[0]!]]), 1);
	two.setPeerWork(new Map([['large', first[0]!]]), 1);
	expect(one.allotment('large', slots)).toBe(45);
	// An entry VM always gets at least an equal fraction.
	expect(two.allotment('large', slots)).toBe(30);
});

// Guards against a team that has to wait because the digests of its entry VM do not contain it yet.
test('a team that becomes active at an idle entry VM is within its share immediately', () => {
	const shares = createShares();
	shares.setPeerWork(new Map([['large', {inFlightMs: 100_000, queuedMs: 400_000}]]), 8);
	shares.addQueued('small', 100);
	expect(shares.classify('small', slots)).toBe('within');
	shares.callStarted('large', 100);
	expect(shares.allotment('large', slots)).toBeLessThanOrEqual(Math.ceil(slots * (2 / 3) / 9));
});

// Guards against a share class that ignores calls in flight.
test('a team is above its share when its calls in flight reach the allotment', () => {
	const shares = createShares();
	shares.addQueued('small', 10);
	for (let call = 0; call < 40; call++) {
		expect(shares.classify('large', slots)).toBe('within');
		shares.callStarted('large', 100);
	}

	expect(shares.classify('large', slots)).toBe('above');
});
