import {expect, test} from 'vitest';
import {DeclarationSet} from '../config/index.js';
import type {Rejection} from '../requests/index.js';
import {createDeployment} from './deployment.js';
import {formatReport} from './format-report.js';
import {makeTrace} from './make-trace.js';
import {createReport} from './report.js';
import type {RequestRecord} from './request-record.js';
import {ExecutionRecorder} from './execution-recorder.js';
import {StageRecorder} from './stage-recorder.js';
import {VirtualClock} from './virtual-clock.js';

const declarations = DeclarationSet.create(createDeployment('die-works').declarations);

function rejected(outcome: Rejection['outcome'], reason: Rejection['reason'], pipeline: string, id: string): RequestRecord {
	const request = {...makeTrace({name: 'alone', deployment: 'die-works', seed: 1}).requests[0]!, id, pipeline};
	return {
		request,
		result: {
			request_id: id, outcome, reason, message: 'Cannot run the request: test',
		},
		latencyMs: 10,
		interTokenMs: [],
		isCorrect: false,
		isAdmitted: reason !== 'overloaded',
	};
}

function report(records: RequestRecord[], executions: ExecutionRecorder) {
	const trace = {...makeTrace({name: 'alone', deployment: 'die-works', seed: 1}), requests: records.map(record => record.request)};
	return createReport({
		trace, policy: 'test', records, declarations, callerLatencyMs: 0, executions, events: new StageRecorder(VirtualClock.create(), undefined),
	});
}

// Guards against reporting `not_run` as true without comparing it with the recorded executions.
test('a not_run that the recorded executions contradict is false', () => {
	const executions = new ExecutionRecorder();
	const call = {team: 'apprentices', stage: 'find', isIdempotent: true};
	executions.recordArrival({...call, requestId: 'advice'});
	executions.recordArrival({...call, requestId: 'booking-before'});
	executions.recordArrival({
		...call, requestId: 'booking-sent', stage: 'book', isIdempotent: false,
	});
	const {rejections, outcomes} = report([
		rejected('not_run', 'overloaded', 'engraving-advice', 'never-sent'),
		rejected('not_run', 'no_target', 'engraving-advice', 'advice'),
		rejected('not_run', 'no_target', 'strike-booking', 'booking-before'),
		rejected('not_run', 'no_target', 'strike-booking', 'booking-sent'),
		rejected('unknown', 'deadline', 'strike-booking', 'booking-sent'),
	], executions);
	expect(rejections.map(entry => [entry.reason, entry.falseNotRun])).toEqual([['no_target', 2], ['overloaded', 0], ['deadline', 0]]);
	expect(outcomes.find(check => check.outcome === 'every not_run is true')?.held).toBe(false);
});

// Guards against missing a second execution for the same idempotency key.
test('two executions for one key fail the expected outcome', () => {
	const executions = new ExecutionRecorder();
	const call = {
		requestId: 'first', team: 'apprentices', stage: 'book', isIdempotent: false, key: 'key-1',
	};
	executions.recordRun(call);
	executions.recordRun({...call, requestId: 'second'});
	executions.recordRun({...call, requestId: 'third', key: 'key-2'});
	const result = report([], executions);
	expect(result.fleet?.doubleRuns).toBe(1);
	expect(result.outcomes.find(check => check.outcome === 'never two runs per key')?.held).toBe(false);
	expect(formatReport(result)).toMatch(/never two runs per key +1 keys +NO/);
});

// Guards against counting requests as late that were not admitted or that failed for another reason.
test('late requests are admitted requests that missed their deadline', () => {
	const {late, admitted} = report([
		rejected('unknown', 'deadline', 'engraving-advice', 'a'),
		rejected('unknown', 'target_failed', 'engraving-advice', 'b'),
		rejected('not_run', 'overloaded', 'engraving-advice', 'c'),
	], new ExecutionRecorder());
	expect([late, admitted]).toEqual([0.5, 2]);
});
