import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {DeclarationSet} from '../config/index.js';
import {FakeTargets} from '../../test/support/fake-targets.js';
import {policyDeclarations} from '../../test/support/policy-declarations.js';
import {PoolTargets} from './pool-targets.js';
import {ZoneLoad} from './zone-load.js';
import {emptyZoneView} from './zone-view.js';

function setup() {
	const registry = FakeTargets.create(DeclarationSet.create(policyDeclarations({teams: {}, targets: {here: 2, there: 1}, slots: 8})));
	const zoneLoad = ZoneLoad.create({clock: ManualClock.create(), zoneView: emptyZoneView});
	return {registry, targets: PoolTargets.create({registry, zone: 'here', zoneLoad}), target: registry.get('here-1')!};
}

// Guards against several entry VMs that each fill all slots of a target.
test('an entry VM may take its fraction of each target, but at least one slot', () => {
	const {targets, registry, target} = setup();
	expect(targets.summary('pool', {now: 0, slotFraction: 1})).toMatchObject({slots: 16, freeSlots: 24});
	expect(targets.summary('pool', {now: 0, slotFraction: 1 / 9}).freeSlots).toBe(3);
	registry.callStarted('here-1');
	targets.update(target, 0);
	expect(targets.summary('pool', {now: 0, slotFraction: 1 / 9}).freeSlots).toBe(2);
	expect(targets.summary('pool', {now: 0, slotFraction: 1 / 9}).candidates.find(candidate => candidate.target === target)?.isFree).toBe(false);
});

// Guards against counting own calls in a delayed report as calls of other entry VMs, and against reports that never expire.
test('a recent load report adds the calls of other entry VMs', () => {
	const {targets, target} = setup();
	const calls = (now: number) => targets.summary('pool', {now, slotFraction: 1}).candidates.find(candidate => candidate.target === target)!.calls;
	target.inFlight = 5;
	target.load = {
		inFlight: 7, queued: 1, slots: 8, ageMs: 0,
	};
	expect(calls(0)).toBe(8);
	target.inFlight = 0;
	expect(calls(100)).toBe(3);
	expect(calls(4000)).toBe(0);
});

// Guards against all entry VMs sending to the target that was idle when delayed reports were made.
test.each([
	{ageMs: 0, difference: 6},
	{ageMs: 2000, difference: 6 * Math.exp(-2)},
])('with reports $ageMs ms old, targets differ by $difference calls', ({ageMs, difference}) => {
	const {registry, targets} = setup();
	for (const target of registry.pool('pool')) {
		target.load = {
			inFlight: target.name === 'here-1' ? 0 : 6, queued: 0, slots: 8, ageMs,
		};
	}

	const calls = targets.summary('pool', {now: 0, slotFraction: 1}).candidates.map(candidate => candidate.calls);
	expect(calls.reduce((sum, value) => sum + value, 0)).toBeCloseTo(12, 5);
	expect(Math.max(...calls) - Math.min(...calls)).toBeCloseTo(difference, 5);
});
