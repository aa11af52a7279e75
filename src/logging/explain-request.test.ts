import {expect, test} from 'vitest';
import {explainRequest} from './explain-request.js';

const line = (time: string, process: string, message: string, fields: Record<string, unknown> = {}) => JSON.stringify({
	time, level: 'info', process, part: 'requests', message, ...fields,
});

test('returns the lines of one request from several processes, ordered by time', () => {
	const explained = explainRequest('r1', [
		line('2026-01-01T00:00:03Z', 'riga-1', 'Ended a request.', {id: 'r1', outcome: 'rejected', reason: 'stages_late'}),
		`  1.0 riga-2 ${line('2026-01-01T00:00:02Z', 'riga-2', 'A stage call ended.', {ids: ['r0', 'r1'], end: 'unreachable'})}`,
		line('2026-01-01T00:00:02Z', 'riga-2', 'A stage call ended.', {ids: ['r2']}),
		'output of another program {',
		line('2026-01-01T00:00:01Z', 'riga-1', 'Lost the store.', {error: 'timeout'}),
	]);
	expect(explained).toEqual([
		'2026-01-01T00:00:02Z riga-2 [requests] A stage call ended. end=unreachable',
		'  before: 2026-01-01T00:00:01Z riga-1 [requests] Lost the store. error=timeout',
		'2026-01-01T00:00:03Z riga-1 [requests] Ended a request. outcome=rejected reason=stages_late',
	]);
});

test('returns no lines for an id that does not occur', () => {
	expect(explainRequest('r9', [line('2026-01-01T00:00:01Z', 'riga-1', 'Started.')])).toEqual([]);
});
