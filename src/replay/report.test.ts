import {expect, test} from 'vitest';
import {DeclarationSet} from '../config/index.js';
import type {Rejection} from '../requests/index.js';
import {createDeployment} from './deployment.js';
import {formatReport} from './format-report.js';
import {makeTrace} from './make-trace.js';
import {createReport} from './report.js';
import type {RequestRecord} from './request-record.js';
import {RunLedger} from './execution-recorder.js';
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
		tookMs: 10,
		gapsMs: [],
		isCorrect: false,
		isAdmitted: reason !== 'overloaded',
	};
}

function report(records: RequestRecord[], ledger: RunLedger) {
	const trace = {...makeTrace({name: 'alone', deployment: 'die-works', seed: 1}), requests: records.map(record => record.request)};
	return createReport({
		trace, policy: 'test', records, declarations, clientMs: 0, ledger, events: new StageRecorder(VirtualClock.create(), undefined),
	});
}

// Guards against a check that takes every `not_run` at its word.
test('a not_run that the fakes contradict is false', () => {
	const ledger = new RunLedger();
	const call = {team: 'apprentices', stage: 'find', isIdempotent: true};
	ledger.arrived({...call, requestId: 'advice'});
	ledger.arrived({...call, requestId: 'booking-before'});
	ledger.arrived({
		...call, requestId: 'booking-sent', stage: 'book', isIdempotent: false,
	});
	const {rejections, outcomes} = report([
		rejected('not_run', 'overloaded', 'engraving-advice', 'never-sent'),
		rejected('not_run', 'no_target', 'engraving-advice', 'advice'),
		rejected('not_run', 'no_target', 'strike-booking', 'booking-before'),
		rejected('not_run', 'no_target', 'strike-booking', 'booking-sent'),
		rejected('unknown', 'deadline', 'strike-booking', 'booking-sent'),
	], ledger);
	expect(rejections.map(entry => [entry.reason, entry.falseNotRun])).toEqual([['no_target', 2], ['overloaded', 0], ['deadline', 0]]);
	expect(outcomes.find(check => check.outcome === 'every not_run is true')?.held).toBe(false);
});

// Guards against a key that runs twice unseen.
test('two runs of a key break the stated outcome', () => {
	const ledger = new RunLedger();
	const call = {
		requestId: 'first', team: 'apprentices', stage: 'book', isIdempotent: false, key: 'key-1',
	};
	ledger.ran(call);
	ledger.ran({...call, requestId: 'second'});
	ledger.ran({...call, requestId: 'third', key: 'key-2'});
	const result = report([], ledger);
	expect(result.fleet?.doubleRuns).toBe(1);
	expect(result.outcomes.find(check => check.outcome === 'never two runs per key')?.held).toBe(false);
	expect(formatReport(result)).toMatch(/never two runs per key +1 keys +NO/);
});

// Guards against requests that are counted as late without having been admitted.
test('late requests are admitted ones whose time ran out', () => {
	const {late, admitted} = report([
		rejected('unknown', 'deadline', 'engraving-advice', 'a'),
		rejected('unknown', 'target_failed', 'engraving-advice', 'b'),
		rejected('not_run', 'overloaded', 'engraving-advice', 'c'),
	], new RunLedger());
	expect([late, admitted]).toEqual([0.5, 2]);
});
