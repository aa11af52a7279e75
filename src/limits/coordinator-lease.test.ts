import {expect, it, vi} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {Link} from '../links/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {CoordinatorLease} from './coordinator-lease.js';
import {leaseMs} from './vote.js';

// Guards against a leader that never gets the lease, since it was asked for permits while another one led.
it('is asked for again after a try while another entry VM led', async () => {
	const clock = ManualClock.create({now: 10_000});
	const other = {} as unknown as Link;
	let leader: Link | undefined = other;
	const lease = CoordinatorLease.create({
		clock, logger: silentLoggerFactory('targets'), self: 'i-1', mesh: () => ({
			leader: () => leader, links: () => [], isInCell: () => true, cellSize: 1,
		}),
	});
	await clock.advance(3000);
	await expect(lease.hold()).resolves.toBeUndefined();
	leader = undefined;
	await expect(lease.hold()).resolves.toBe(13_000 + leaseMs);
});

// Guards against rejected requests for cold targets that nothing in the log explains.
it('logs once that it lacks votes, and once that it has them', async () => {
	const clock = ManualClock.create({now: 10_000});
	const logger = {...silentLoggerFactory('targets'), info: vi.fn()};
	const lease = CoordinatorLease.create({
		clock, logger, self: 'i-1', mesh: () => ({
			leader: () => undefined, links: () => [], isInCell: () => true, cellSize: 1,
		}),
	});
	// Until 2,050 ms after the start, the own vote is withheld.
	for (let tries = 0; tries < 8; tries++) {
		await lease.hold();
		await clock.advance(400);
	}

	expect(logger.info.mock.calls).toEqual([
		['Cannot grant permits for cold targets: too few members of the cell gave their votes.', {votes: 0, needed: 1, took_ms: 0}],
		['Has the lease to grant permits for cold targets.', {votes: 1, needed: 1, took_ms: 0}],
	]);
});
