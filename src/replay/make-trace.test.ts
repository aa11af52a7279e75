import {expect, test} from 'vitest';
import {DeclarationSet} from '../config/index.js';
import {createDeployment} from './deployment.js';
import {makeTrace, traceNames} from './make-trace.js';
import {deploymentNames} from './trace.js';

// Guards against traces that depend on anything but their options, which makes results irreproducible.
test('the same seed makes the same trace', () => {
	const options = {name: 'burst', deployment: 'die-works', durationMs: 6000} as const;
	expect(makeTrace({...options, seed: 5})).toEqual(makeTrace({...options, seed: 5}));
	expect(makeTrace({...options, seed: 5})).not.toEqual(makeTrace({...options, seed: 6}));
});

// Guards against comparing `alone` and `burst` on different requests of the small team.
test.each(deploymentNames)('the small team of %s sends the same requests in alone and burst', deployment => {
	const {roles, entryVms} = createDeployment(deployment);
	const alone = makeTrace({name: 'alone', deployment, seed: 1});
	const burst = makeTrace({name: 'burst', deployment, seed: 1});
	const steady = makeTrace({name: 'steady', deployment, seed: 1});
	expect(burst.requests.filter(request => request.team === roles.small)).toEqual(alone.requests);
	const during = (requests: typeof burst.requests) => requests.filter(({team, at_ms}) => team === roles.large[0] && at_ms >= 8000 && at_ms < 32_000);
	const factor = during(burst.requests).length / during(steady.requests).length;
	expect(factor).toBeGreaterThan(8);
	expect(factor).toBeLessThan(12);
	expect(new Set(during(burst.requests).map(request => request.entry_vm)).size).toBe(entryVms.length);
});

// Guards against traces that name a team, pipeline, entry VM, target, pool or zone that the deployment does not declare.
test.each(deploymentNames)('traces of %s reference only declared entities', deployment => {
	const {declarations, entryVms} = createDeployment(deployment);
	const set = DeclarationSet.create(declarations);
	expect([entryVms.length, set.teams().length]).toEqual([9, 5]);
	expect(set.pipelines().every(pipeline => pipeline.stages.length >= 3 && pipeline.stages.length <= 6 && pipeline.deadline_ms <= 9000)).toBe(true);
	for (const name of traceNames) {
		const trace = makeTrace({
			name, deployment, seed: 2, durationMs: 3000,
		});
		const isKnown = (fault: typeof trace.faults[number]) => fault.scope === 'all' || (set[fault.scope as 'target' | 'pool' | 'zone'](fault.name) !== undefined);
		expect(trace.requests.every(request => set.team(request.team) && set.pipeline(request.pipeline) && entryVms.some(vm => vm.name === request.entry_vm))).toBe(true);
		expect(trace.faults.every(fault => isKnown(fault))).toBe(true);
	}
});
