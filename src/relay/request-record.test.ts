import {expect, test} from 'vitest';
import {RelayTarget} from '../registry/index.js';
import {RequestRecord} from './request-record.js';

const target = RelayTarget.create({
	id: 't1', service: 'desk', address: '10.0.0.1:80', zone: 'riga-a', slots: 1, isDraining: false, startedMs: 0,
});

test('a record reports attempts and times relative to the arrival', () => {
	const record = RequestRecord.create(1000);
	record.recordStages(300.4);
	record.recordAttempt(target, {
		kind: 'failed', failure: 'broken', reason: 'reset', progress: 'none',
	}, {startedMs: 1310, now: 1400});
	record.recordStages(100);
	record.recordFirstByte(1600);
	record.recordFirstByte(1700);
	record.recordAttempt(target, {kind: 'streamed'}, {startedMs: 1550, now: 1800});
	expect(record.logFields({outcome: 'answered', reason: '', status: 200}, 1801)).toEqual({
		outcome: 'answered',
		status: 200,
		took_ms: 801,
		stages_ms: 400,
		first_byte_ms: 600,
		attempts: [
			{
				target: 't1', end: 'broken', at_ms: 310, took_ms: 90, reason: 'reset',
			},
			{
				target: 't1', end: 'streamed', at_ms: 550, took_ms: 250,
			},
		],
	});
});

test('a request that was rejected before any stage or attempt has a reason, but no stage or first-byte time', () => {
	expect(RequestRecord.create(0).logFields({outcome: 'rejected', reason: 'no_target', status: 503}, 4)).toEqual({
		outcome: 'rejected', reason: 'no_target', status: 503, took_ms: 4, attempts: [],
	});
});
