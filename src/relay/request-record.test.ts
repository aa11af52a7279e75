import {expect, test} from 'vitest';
import {RelayTarget} from '../registry/index.js';
import {RequestRecord} from './request-record.js';

const target = RelayTarget.create({
	id: 't1', service: 'desk', address: '10.0.0.1:80', zone: 'riga-a', slots: 1, isDraining: false, startedMs: 0,
});

test('a record reports attempts and times relative to the arrival', () => {
	const record = RequestRecord.create(1000);
	record.startStages();
	record.recordStages(300.4);
	record.startAttempt(target, 1310);
	record.recordFraming('chunked');
	record.recordBodyEnd('reset');
	record.recordLastEvent(5);
	record.endAttempt({
		kind: 'failed', failure: 'broken', reason: 'reset', progress: 'none',
	}, 1400);
	record.startStages();
	record.recordStages(100);
	record.recordFirstByte(1600);
	record.recordFirstByte(1700);
	record.startAttempt(target, 1550);
	record.recordFraming('connection');
	record.recordBodyEnd('connection_end');
	record.recordLastEvent(8);
	record.endAttempt({kind: 'streamed', hasEvents: true}, 1800);
	expect(record.logFields({outcome: 'answered', reason: '', status: 200}, 1801)).toEqual({
		outcome: 'answered',
		status: 200,
		took_ms: 801,
		stage_runs: 2,
		stages_ms: 400,
		first_byte_ms: 600,
		attempts: [
			{
				target: 't1', end: 'broken', at_ms: 310, took_ms: 90, reason: 'reset', framing: 'chunked', body_end: 'reset', last_event: 5,
			},
			{
				target: 't1', end: 'streamed', at_ms: 550, took_ms: 250, framing: 'connection', body_end: 'connection_end', last_event: 8,
			},
		],
	});
});

test('a request that was rejected before any stage or attempt has a reason, but no stage or first-byte time', () => {
	expect(RequestRecord.create(0).logFields({outcome: 'rejected', reason: 'no_target', status: 503}, 4)).toEqual({
		outcome: 'rejected', reason: 'no_target', status: 503, took_ms: 4, attempts: [],
	});
});

// Guards against a log that does not tell whose work was given up: a request that ended for another reason named none of its
// attempts in progress.
test('a request that ends during an attempt reports it, with the last probe and why no other attempt was made', () => {
	const record = RequestRecord.create(1000);
	record.startAttempt(target, 1100);
	record.recordProbe('alive');
	record.recordProbe('silent');
	record.recordRetryDenial('no_target');
	expect(record.logFields({outcome: 'broken_off', reason: 'shutting_down', status: 200}, 2000)).toMatchObject({
		retry_denied: 'no_target',
		attempts: [{
			target: 't1', end: 'running', at_ms: 100, took_ms: 900, probe: 'silent',
		}],
	});
});
