import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {ZoneLoad} from './zone-load.js';
import type {ZoneDigest} from './zone-view.js';

function digest(process: string, queuedMs: number, calls: number): ZoneDigest {
	return {
		process, incarnation: 'i1', sequence: 1, work: [{
			team: 'large', pool: 'pool', inFlightMs: 100, queuedMs,
		}], inFlight: [{target: 'target', calls}], draining: [], configOffset: 0,
	};
}

// Guards against totals that still include the previous digest of an entry VM, or the digest of one that left.
test('totals include only the latest digest of each present entry VM', async () => {
	const clock = ManualClock.create();
	let others = [digest('vm-1', 50, 2), digest('vm-2', 0, 3)];
	const load = ZoneLoad.create({clock, zoneView: {peerDigests: () => others}});
	load.refresh();
	expect(load.calls('target')).toBe(5);
	expect(load.activePeers('pool')).toBe(2);
	expect(load.work('pool').get('large')).toEqual({inFlightMs: 200, queuedMs: 50});
	others = [digest('vm-1', 10, 1)];
	await clock.advance(1000);
	load.refresh();
	expect(load.peers).toBe(1);
	expect(load.calls('target')).toBe(1);
	expect(load.work('pool').get('large')).toEqual({inFlightMs: 100, queuedMs: 10});
	others = [];
	await clock.advance(1000);
	load.refresh();
	expect(load.work('pool').size).toBe(0);
	expect(load.activePeers('pool')).toBe(0);
});
