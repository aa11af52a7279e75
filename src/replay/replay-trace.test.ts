import {expect, test} from 'vitest';
import {makeTrace, type TraceName} from './make-trace.js';
import {replayPolicies} from './replay-policies.js';
import {replayTrace} from './replay-trace.js';

function smallTrace(name: TraceName) {
	return makeTrace({
		name, deployment: 'fundacion', seed: 4, durationMs: 12_000, rate: 0.5,
	});
}

// Guards against replays that depend on anything but trace and seed.
test('two replays of a trace give the same report', async () => {
	const trace = smallTrace('burst');
	const [first, second] = [await replayTrace(trace, {policy: replayPolicies[0]!}), await replayTrace(trace, {policy: replayPolicies[0]!})];
	expect(second.report).toEqual(first.report);
});

// Guards against lost, crossed or doubled work and untrue rejections under each fault, by every policy.
test.each(replayPolicies.flatMap(policy => (['steady', 'engine-dies', 'engine-freezes', 'engine-drains', 'zone-cut'] as const).map(name => ({name, policy}))))('$policy.name keeps the promises under $name', async ({name, policy}) => {
	const trace = smallTrace(name);
	const {report, records} = await replayTrace(trace, {policy});
	expect(records).toHaveLength(trace.requests.length);
	expect(report).toMatchObject({wrongAnswers: 0, fleet: {doubleRuns: 0, falseNotRun: 0}});
});

// Guards against a replay without load, faults or latencies, whose figures would mean nothing.
test('a healthy fleet answers everything, with latency, cost and saved prefill', async () => {
	const {report} = await replayTrace(smallTrace('steady'), {policy: replayPolicies[0]!});
	expect(report.attainment).toBe(1);
	expect(report.outcomes.every(check => check.held)).toBe(true);
	expect(report.fleet!.cost).toBeGreaterThan(0);
	expect(report.fleet!.prefill.saved).toBeGreaterThan(0);
	expect(report.teams.every(team => team.latencyP95 >= team.latencyP50 && team.firstTokenP95 > 0 && team.gapP95 > 0)).toBe(true);
});

// Guards against a trace whose single requests cannot be looked at.
test('the events of a traced request are kept', async () => {
	const trace = smallTrace('steady');
	const {traced} = await replayTrace(trace, {policy: replayPolicies[0]!, tracedRequest: trace.requests[0]!.id});
	expect(traced.map(event => event.kind)).toEqual(expect.arrayContaining(['request_received', 'attempt_sent', 'request_answered']));
});
