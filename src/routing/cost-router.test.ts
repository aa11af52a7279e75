import {expect, test} from 'vitest';
import {DeclarationSet, StaticConfigView} from '../config/index.js';
import {Random} from '../random/index.js';
import type {Target} from '../targets/index.js';
import {FakeTargets} from '../../test/support/fake-targets.js';
import {pipelineOf, policyDeclarations} from '../../test/support/policy-declarations.js';
import {CostRouter} from './cost-router.js';
import {LeastInFlightRouter} from './least-in-flight-router.js';
import {PrefixAffinityRouter} from './prefix-affinity-router.js';
import {PrefixIndex} from './prefix-index.js';
import {PrefixHasher} from './prefix-hasher.js';
import {RoundRobinRouter} from './round-robin-router.js';
import type {RouteCandidate, RouteRequest} from './router.js';

const limit = 8;

function setup(policy?: Record<string, number>) {
	const declarations = policyDeclarations({
		teams: {team: 1}, targets: {here: 3, there: 2}, slots: limit, ...(policy ? {policy} : {}),
	});
	const registry = FakeTargets.create(DeclarationSet.create(declarations));
	const index = PrefixIndex.create();
	const router = CostRouter.create({
		config: StaticConfigView.create(declarations), zone: 'here', random: Random.create(9), index,
	});
	const pipeline = pipelineOf(declarations);
	const prompt = [{id: 'system', text: 'x'.repeat(8000)}];
	const request: RouteRequest = {
		work: {
			requestId: 'r', team: 'team', pipeline, stage: pipeline.stages[0]!, attempt: 1, prompt, maxTokens: 50, deadlineMs: 9000, failedTargets: [],
		},
		prefixes: PrefixHasher.create().prefixesOf(prompt), now: 0, predictedWaitMs: 0, serviceTimeCorrection: 1, laterStagesMs: 0,
	};
	const createCandidates = (calls: Record<string, number> = {}) => registry.pool('pool').map((target): RouteCandidate => ({
		target, calls: calls[target.name] ?? 0, limit, slowdown: 1, isFree: (calls[target.name] ?? 0) < limit,
	}));
	const choices = (candidates: RouteCandidate[], changed: Partial<RouteRequest> = {}) => new Set(Array.from({length: 200}, () => router.choose({...request, ...changed}, candidates)?.name));
	return {
		registry, index, router, request, createCandidates, choices,
	};
}

const localTargetsFull = {'here-1': limit, 'here-2': limit, 'here-3': limit};

// Guards against entry VMs that all choose the same target from the same outdated load report.
test('targets of nearly equal cost in the zone share the calls', () => {
	const {createCandidates, choices, router, request} = setup();
	expect(choices(createCandidates(), {prefixes: [{hash: 'question', tokens: 100}]})).toEqual(new Set(['here-1', 'here-2', 'here-3']));
	const preferred = Array.from({length: 50}, (_, index) => router.choose({...request, prefixes: [{hash: `archive-${index}`, tokens: 600}]}, createCandidates())!.name);
	expect(new Set(preferred)).toEqual(new Set(['here-1', 'here-2', 'here-3']));
});

// Guards against several engines that cache the same prefix, and against waiting for the engine that may have cached it.
test('a long prefix goes to one engine until that engine is full', () => {
	const {createCandidates, choices} = setup();
	const [preferred, ...others] = choices(createCandidates());
	expect(others).toEqual([]);
	expect(choices(createCandidates({[preferred!]: limit})).has(preferred)).toBe(false);
});

// Guards against prefill that another engine would not need, and against a slow engine chosen for a small saving.
test('an engine that has cached the prompt is chosen, unless it is slow', () => {
	const {createCandidates, choices, index, registry, request} = setup();
	index.recordDispatch(registry.get('here-2')!, request.prefixes);
	expect([...choices(createCandidates({'here-2': 2}))]).toEqual(['here-2']);
	const slow = createCandidates().map(candidate => candidate.target.name === 'here-2' ? {...candidate, slowdown: 3} : candidate);
	expect(choices(slow).has('here-2')).toBe(false);
});

// Guards against calls to a suspect target while a healthy target exists, even in another zone.
test('a suspect target is avoided', () => {
	const {createCandidates, choices, registry} = setup();
	registry.get('here-1')!.state = 'suspect';
	expect(choices(createCandidates()).has('here-1')).toBe(false);
	registry.get('here-2')!.state = 'suspect';
	registry.get('here-3')!.state = 'suspect';
	expect([...choices(createCandidates())].every(name => name!.startsWith('there'))).toBe(true);
});

// Guards against spillover to another zone to avoid a short wait, and against a long wait while another zone is free.
test('the predicted wait for a full zone decides between waiting and spillover', () => {
	const {createCandidates, choices} = setup();
	expect([...choices(createCandidates(localTargetsFull), {predictedWaitMs: 15})]).toEqual([undefined]);
	expect([...choices(createCandidates(localTargetsFull), {predictedWaitMs: 200})].every(name => name!.startsWith('there'))).toBe(true);
	// The targets of the other zone are full too.
	expect([...choices(createCandidates({...localTargetsFull, 'there-1': limit, 'there-2': limit}), {predictedWaitMs: 200})]).toEqual([undefined]);
});

// Guards against cross-region traffic in a deployment that gives network cost a high weight.
test('a high cost weight keeps traffic in the region until the deadline would be missed', () => {
	const {createCandidates, choices} = setup({cost_weight: 100});
	expect([...choices(createCandidates(localTargetsFull), {predictedWaitMs: 200})]).toEqual([undefined]);
	expect([...choices(createCandidates(localTargetsFull), {predictedWaitMs: 8900})].every(name => name!.startsWith('there'))).toBe(true);
});

// Guards against baseline routers that choose a target that is not free.
test('baseline routers choose free targets by their own rules', () => {
	const {createCandidates, index, registry, request} = setup();
	const names = (router: {choose(request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined}, candidates: RouteCandidate[]) => Array.from({length: 3}, () => router.choose(request, candidates)?.name);
	expect(names(RoundRobinRouter.create(), createCandidates({'here-2': limit}))).toEqual(['here-1', 'here-3', 'there-1']);
	expect(names(LeastInFlightRouter.create(), createCandidates({
		'here-1': 2, 'here-2': 1, 'here-3': 3, 'there-1': 4, 'there-2': 4,
	}))[0]).toBe('here-2');
	index.recordDispatch(registry.get('there-1')!, request.prefixes);
	expect(names(PrefixAffinityRouter.create(index), createCandidates())[0]).toBe('there-1');
	expect(names(RoundRobinRouter.create(), [])).toEqual([undefined, undefined, undefined]);
});
