import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {DeclarationSet, StaticConfigView} from '../config/index.js';
import {Random} from '../random/index.js';
import {FakeTargets} from '../../test/support/fake-targets.js';
import {pipelineOf, policyDeclarations, type PolicySetup} from '../../test/support/policy-declarations.js';
import {ZoneSimulation, type SimulatedResult, type SimulatedRequest} from '../../test/support/zone-simulation.js';
import {FairScheduler} from './fair-scheduler.js';
import {emptyZoneView} from './zone-view.js';

const base: PolicySetup = {
	teams: {large: 1, small: 1}, targets: {here: 2}, slots: 4, serviceMs: 100,
};

function setup(options: Partial<PolicySetup> = {}, entryVms = 1) {
	const clock = ManualClock.create();
	const zone = ZoneSimulation.create({
		clock, declarations: policyDeclarations({...base, ...options}), entryVms, zone: 'here', seed: 21,
	});
	const send = (count: number, request: Partial<SimulatedRequest> = {}, vm = 0): Array<Promise<SimulatedResult>> => Array.from({length: count}, async () => zone.request(vm, {team: 'large', serviceMs: 100, ...request}));
	return {clock, zone, send};
}

const outcomes = (results: readonly SimulatedResult[]) => new Set(results.map(result => result.outcome));

// Guards against a burst of ten times the capacity that makes a small team miss its deadlines or starves the large team.
test('a burst of a large team delays a small team by little more than one service time', async () => {
	const {clock, send} = setup();
	const burst = send(800);
	const results: Array<Promise<SimulatedResult>> = [];
	for (let step = 0; step < 20; step++) {
		results.push(...send(1, {team: 'small', deadlineMs: 400}));
		await clock.advance(100);
	}

	await clock.advance(20_000);
	const small = await Promise.all(results);
	expect(outcomes(small)).toEqual(new Set(['ok']));
	const large = await Promise.all(burst);
	// 8 slots serve 80 calls/s; the deadline is 9 s, and the small team uses less than its half.
	expect(large.filter(result => result.outcome === 'ok').length).toBeGreaterThan(650);
});

// Guards against admitting requests that miss their deadline, and against rejecting requests that could have met it.
test('admission matches capacity under sustained overload', async () => {
	const {clock, send} = setup();
	const results = send(2000);
	await clock.advance(20_000);
	const all = await Promise.all(results);
	const count = (outcome: string) => all.filter(result => result.outcome === outcome).length;
	const capacity = 9000 / 100 * 8;
	expect(count('ok') + count('overloaded')).toBeGreaterThanOrEqual(all.length * 0.98);
	expect(count('ok')).toBeGreaterThan(capacity * 0.95);
});

// Guards against slots reserved for teams without work.
test('the only active team uses every slot', async () => {
	const {clock, zone, send} = setup();
	const results = send(16);
	await clock.advance(50);
	expect([...zone.targets.values()].map(target => target.running)).toEqual([4, 4]);
	await clock.advance(1000);
	const all = await Promise.all(results);
	expect(Math.max(...all.map(result => result.totalMs))).toBe(200);
});

// Guards against a request within its team's share that misses its deadline while calls of a team above its share could
// be revoked.
test('a call above its team\'s share is revoked for a request that would miss its deadline, and retried', async () => {
	const {clock, send} = setup();
	const long = send(8, {serviceMs: 5000, skipAdmission: true});
	await clock.advance(1000);
	const urgent = send(1, {team: 'small', deadlineMs: 150, skipAdmission: true});
	await clock.advance(20_000);
	const [result] = await Promise.all(urgent);
	expect(result).toMatchObject({outcome: 'ok', attempts: 1, shareClass: 'within'});
	const all = await Promise.all(long);
	expect(outcomes(all)).toEqual(new Set(['ok']));
	expect(all.map(({attempts}) => attempts).sort((a, b) => a - b)).toEqual([1, 1, 1, 1, 1, 1, 1, 2]);
});

// Guards against executing a non-idempotent call twice, and against revoking calls within a team's share.
test.each([
	['a non-idempotent call', 8, {idempotent: false}],
	['a call within its team\'s share', 4, {}],
])('%s is never revoked', async (_name, count, request) => {
	const {clock, send} = setup({teams: {large: 1, small: 1, other: 1000}});
	const long = [...send(count, {
		...request, serviceMs: 5000, skipAdmission: true, team: count === 8 ? 'large' : 'other',
	}), ...send(8 - count, {serviceMs: 5000, skipAdmission: true, idempotent: false})];
	await clock.advance(1000);
	const urgent = send(1, {team: 'small', deadlineMs: 150, skipAdmission: true});
	await clock.advance(20_000);
	expect((await Promise.all(urgent))[0]!.outcome).toBe('deadline');
	expect((await Promise.all(long)).every(({attempts}) => attempts === 1)).toBe(true);
});

// Guards against a retry at the target that just failed, and against a retry that finds no target when only that one
// exists.
test('a failed target is chosen again only when no other exists', async () => {
	const {clock, send} = setup();
	const results = [...send(4, {failedTargets: ['here-1']}), ...send(1, {failedTargets: ['here-1']})];
	await clock.advance(1000);
	const waits = (await Promise.all(results)).map(({waitMs}) => waitMs);
	expect(waits).toEqual([0, 0, 0, 0, 100]);
	const alone = setup({targets: {here: 1}});
	const [result] = alone.send(1, {failedTargets: ['here-1']});
	await alone.clock.advance(1000);
	expect((await result!).outcome).toBe('ok');
});

// Guards against dispatch to a target that started draining while the attempt was queued.
test('a draining target receives no queued attempts', async () => {
	const {clock, zone, send} = setup();
	const results = send(40);
	await clock.advance(50);
	zone.registries[0]!.markDraining('here-1');
	await clock.advance(100);
	expect([...zone.targets.values()].map(target => target.running)).toEqual([0, 4]);
	await clock.advance(9000);
	expect(outcomes(await Promise.all(results))).toEqual(new Set(['ok']));
	zone.registries[0]!.markDraining('here-2');
	expect((await send(1)[0]!).outcome).toBe('no_target');
});

// Guards against starvation of a small team at one entry VM while the eight others are saturated, and against
// overcommitted targets because no entry VM knows the calls of the others.
test('nine entry VMs share targets without starving a small team at one of them', async () => {
	const {clock, zone, send} = setup({targets: {here: 8}, slots: 8, serviceMs: 1000}, 9);
	const large: Array<Promise<SimulatedResult>> = [];
	const small: Array<Promise<SimulatedResult>> = [];
	let mostAtTargets = 0;
	for (let step = 0; step < 100; step++) {
		for (let vm = 0; vm < 8; vm++) {
			large.push(...send(2, {serviceMs: 1000}, vm));
		}

		small.push(...send(1, {team: 'small', serviceMs: 1000, deadlineMs: 3500}, 8));
		await clock.advance(100);
		if (step >= 30) {
			const atTargets = [...zone.targets.values()].reduce((sum, target) => sum + target.running + target.queued, 0);
			mostAtTargets = Math.max(mostAtTargets, atTargets);
		}
	}

	await clock.advance(20_000);
	const results = await Promise.all(small);
	expect(outcomes(results)).toEqual(new Set(['ok']));
	expect(Math.max(...results.map(({waitMs}) => waitMs))).toBeLessThan(1000);
	// 1.5 times the 64 slots: digests are up to 1 s old, which is the duration of a call.
	expect(mostAtTargets).toBeLessThanOrEqual(96);
	expect((await Promise.all(large)).filter(result => result.outcome === 'ok').length).toBeGreaterThan(700);
});

// Guards against admitting a whole burst while it is in the first stage and the queue of the last stage is still empty.
test('admission includes the later stages of requests already admitted', () => {
	const declarations = policyDeclarations(base);
	const scheduler = FairScheduler.create({
		clock: ManualClock.create(), config: StaticConfigView.create(declarations), targets: FakeTargets.create(DeclarationSet.create(declarations)), zone: 'here', zoneView: emptyZoneView, random: Random.create(3),
	});
	const {stages, ...pipeline} = pipelineOf(declarations);
	const admitted = Array.from({length: 1000}, (_, index) => scheduler.admit({
		requestId: `request-${index}`, team: 'large', pipeline: {...pipeline, stages: [{...stages[0]!, name: 'first'}, ...stages]}, prompt: [], maxTokens: 1, remainingMs: 2000,
	})).filter(decision => decision.admitted).length;
	// 8 slots complete 160 calls of 100 ms within 2 s. Both stages use the pool, so at least 80 requests fit.
	expect(admitted).toBeGreaterThanOrEqual(80);
	expect(admitted).toBeLessThanOrEqual(160);
});
