import {expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {Link} from '../links/index.js';
import {CoordinatorLease} from './coordinator-lease.js';
import {leaseMs} from './vote.js';

// Guards against a leader that never gets the lease, since it was asked for permits while another one led.
it('is asked for again after a try while another entry VM led', async () => {
	const clock = ManualClock.create({now: 10_000});
	const other = {} as unknown as Link;
	let leader: Link | undefined = other;
	const lease = CoordinatorLease.create({
		clock, self: 'i-1', mesh: () => ({
			leader: () => leader, links: () => [], isInCell: () => true, cellSize: 1,
		}),
	});
	await clock.advance(3000);
	await expect(lease.hold()).resolves.toBeUndefined();
	leader = undefined;
	await expect(lease.hold()).resolves.toBe(13_000 + leaseMs);
});
