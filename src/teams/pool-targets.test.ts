import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {DeclarationSet} from '../config/index.js';
import {createDeployment} from '../replay/index.js';
import {FakeTargets} from '../../test/support/fake-targets.js';
import {PoolTargets} from './pool-targets.js';
import {ZoneLoad} from './zone-load.js';
import {emptyZoneView} from './zone-view.js';

// Guards against entry VMs that all send to the target that was empty when late reports were made.
test.each([
	{ageMs: 0, differs: true},
	{ageMs: 2000, differs: false},
])('the difference between reports counts less with their age of $ageMs ms', ({ageMs, differs}) => {
	const registry = FakeTargets.create(DeclarationSet.create(createDeployment('die-works').declarations));
	const pool = registry.pool('order-desk');
	for (const [index, target] of pool.entries()) {
		target.load = {
			inFlight: index === 0 ? 0 : 6, queued: 0, slots: 8, ageMs,
		};
	}

	const zoneLoad = ZoneLoad.create({clock: ManualClock.create(), zoneView: emptyZoneView});
	const {candidates} = PoolTargets.create({registry, zone: 'riga-a', zoneLoad}).summary('order-desk', {now: 0, part: 1});
	const calls = candidates.map(candidate => candidate.calls);
	expect(calls.reduce((sum, value) => sum + value, 0)).toBeCloseTo(12, 5);
	expect(calls.at(-1)! - calls[0]! > 3).toBe(differs);
});
