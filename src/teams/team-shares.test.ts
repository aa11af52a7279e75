import {expect, test} from 'vitest';
import {TeamShares} from './team-shares.js';

const slots = 60;

function createShares(): TeamShares {
	const weights: Record<string, number> = {large: 2, small: 1};
	return TeamShares.create('pool', team => weights[team]!);
}

// Guards against shares that idle teams hold back, and against a team without a share.
test('the pool is divided by weight among active teams only', () => {
	const shares = createShares();
	shares.started('large', 100);
	expect(shares.share('large')).toBe(1);
	expect(shares.share('small')).toBeCloseTo(1 / 3);
	shares.queued('small', 100);
	expect(shares.share('large')).toBeCloseTo(2 / 3);
	shares.queued('small', -100);
	shares.ended('large', 100);
	shares.started('small', 100);
	expect(shares.share('small')).toBe(1);
});

// Guards against entry VMs that each use the whole share of a team.
test('entry VMs divide a team\'s share by their part of its work', () => {
	const [one, two] = [createShares(), createShares()];
	one.queued('large', 900);
	two.queued('large', 300);
	const [first, second] = [one.publish(), two.publish()];
	one.setOthers(new Map([['large', second[0]!]]), 1);
	two.setOthers(new Map([['large', first[0]!]]), 1);
	expect(one.allotment('large', slots)).toBe(45);
	// An equal part is never undercut.
	expect(two.allotment('large', slots)).toBe(30);
});

// Guards against a small team that has to wait because the digests of a quiet entry VM do not show it yet.
test('a team that becomes active at a quiet entry VM is within its share at once', () => {
	const shares = createShares();
	shares.setOthers(new Map([['large', {inFlightMs: 100_000, queuedMs: 400_000}]]), 8);
	shares.queued('small', 100);
	expect(shares.classify('small', slots)).toBe('within');
	shares.started('large', 100);
	expect(shares.allotment('large', slots)).toBeLessThanOrEqual(Math.ceil(slots * (2 / 3) / 9));
});

// Guards against a class that ignores the calls in flight.
test('a team is above its share when its calls use up the allotment', () => {
	const shares = createShares();
	shares.queued('small', 10);
	for (let call = 0; call < 40; call++) {
		expect(shares.classify('large', slots)).toBe('within');
		shares.started('large', 100);
	}

	expect(shares.classify('large', slots)).toBe('above');
});
