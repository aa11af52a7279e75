import {describe, expect, it} from 'vitest';
import {FleetSize} from './fleet-size.js';

describe('FleetSize', () => {
	const create = () => FleetSize.create({keepMs: () => 20_000});

	it('is unknown until a number is recorded', () => {
		expect(create().largest(0)).toBeUndefined();
	});

	// Guards against a larger share of each entry VM while others that still spend theirs cannot be seen.
	it('is the largest number of the period, also after entry VMs have left', () => {
		const fleet = create();
		for (const [now, count] of [[0, 3], [1000, 9], [2000, 4], [3000, 6], [4000, 2]] as const) {
			fleet.record(count, {now, isCurrent: true});
		}

		expect([4000, 21_999, 22_000, 22_999, 23_000, 23_999, 24_000].map(now => fleet.largest(now))).toEqual([9, 9, 6, 6, 6, 6, 2]);
	});

	it('does not fall while the list is not current', () => {
		const fleet = create();
		fleet.record(9, {now: 0, isCurrent: true});
		fleet.record(1, {now: 1000, isCurrent: false});
		fleet.record(1, {now: 600_000, isCurrent: false});
		expect(fleet.largest(600_000)).toBe(9);
		fleet.record(10, {now: 600_000, isCurrent: false});
		expect(fleet.largest(600_000)).toBe(10);
		fleet.record(2, {now: 700_000, isCurrent: true});
		expect([719_999, 720_000].map(now => fleet.largest(now))).toEqual([10, 2]);
	});

	it('keeps the number from before a freeze for the period after it', () => {
		const fleet = create();
		fleet.record(9, {now: 0, isCurrent: true});
		fleet.record(5, {now: 90_000, isCurrent: true});
		expect([90_000, 109_999, 110_000].map(now => fleet.largest(now))).toEqual([9, 9, 5]);
	});
});
