import {expect, test} from 'vitest';
import {makeTrace, type TraceName} from './make-trace.js';
import {replayPolicies} from './replay-policies.js';
import {replayTrace} from './replay-trace.js';

function smallTrace(name: TraceName) {
	return makeTrace({
		name, deployment: 'fundacion', seed: 4, durationMs: 12_000, rate: 0.5,
	});
}

// Guards against replays that depend on anything but the trace and the seed.
test('two replays of a trace give the same report', async () => {
	const trace = smallTrace('burst');
	const [first, second] = [await replayTrace(trace, {policy: replayPolicies[0]!}), await replayTrace(trace, {policy: replayPolicies[0]!})];
	expect(second.report).toEqual(first.report);
});

// Guards against lost requests, mixed-up answers, double execution and false `not_run` rejections under faults.
test.each(replayPolicies.flatMap(policy => (['steady', 'engine-dies', 'engine-freezes', 'engine-drains', 'zone-cut'] as const).map(name => ({name, policy}))))('$policy.name keeps the execution guarantees under $name', async ({name, policy}) => {
	const trace = smallTrace(name);
	const {report, records} = await replayTrace(trace, {policy});
	expect(records).toHaveLength(trace.requests.length);
	expect(report).toMatchObject({wrongAnswers: 0, fleet: {doubleRuns: 0, falseNotRun: 0}});
});

// Guards against a simulation without load, latency, cost or prefix caching, whose metrics would be meaningless.
test('a healthy fleet answers every request, with latency, cost and saved prefill tokens', async () => {
	const {report} = await replayTrace(smallTrace('steady'), {policy: replayPolicies[0]!});
	expect(report.attainment).toBe(1);
	expect(report.outcomes.every(check => check.held)).toBe(true);
	expect(report.fleet!.cost).toBeGreaterThan(0);
	expect(report.fleet!.prefill.saved).toBeGreaterThan(0);
	expect(report.teams.every(team => team.latencyP95 >= team.latencyP50 && team.firstTokenP95 > 0 && team.gapP95 > 0)).toBe(true);
});

// Guards against losing the events that are needed to examine a single request.
test('the events of the traced request are returned', async () => {
	const trace = smallTrace('steady');
	const {tracedEvents} = await replayTrace(trace, {policy: replayPolicies[0]!, tracedRequestId: trace.requests[0]!.id});
	expect(tracedEvents.map(event => event.kind)).toEqual(expect.arrayContaining(['request_received', 'attempt_sent', 'request_answered']));
});
