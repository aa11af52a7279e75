import {create} from '@bufbuild/protobuf';
import {expect, test} from 'vitest';
import {TraceResponseSchema} from '../gen/guavamill/v1/operator_pb.js';
import {formatTrace} from './trace-command.js';

// Guards against a printed timeline that omits the subject of an event or does not mention missing processes.
test('a timeline prints one event per line in aligned columns and lists the processes that did not respond', () => {
	const response = create(TraceResponseSchema, {
		events: [
			{
				process: 'riga-1', sequence: 7n, wallMs: 1_700_000_000_120, kind: 'attempt_sent', requestId: 'r1', team: 'apprentices', stage: 'encode', attempt: 2, target: 'encoders-1',
			},
			{
				process: 'riga-2', sequence: 1n, wallMs: 1_700_000_000_121, kind: 'of_a_newer_version', detail: 'x',
			},
		],
		missingProcesses: ['limon-1', 'limon-2'],
	});
	expect(formatTrace(response)).toEqual([
		'time          process    event               request  team         stage   attempt  target      detail',
		'22:13:20.120  riga-1 #7  attempt_sent        r1       apprentices  encode  2        encoders-1',
		'22:13:20.121  riga-2 #1  of_a_newer_version                                                     x',
		'No answer from: limon-1, limon-2',
	]);
	expect(formatTrace(create(TraceResponseSchema, {missingProcesses: ['limon-1']}))).toEqual(['No event matches.', 'No answer from: limon-1']);
});
