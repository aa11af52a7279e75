import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {ServicePort, ServiceReply} from '../targets/index.js';
import {lookUpReply} from './look-up-reply.js';

const call = {
	requestId: 'r1', stage: 'book', attempt: 1, team: 't', shareClass: 'within' as const, kind: 'call', input: '', idempotent: false, idempotencyKey: 'k', remainingMs: 1000,
};
const reply: ServiceReply = {
	requestId: 'r1', stage: 'book', attempt: 1, output: 'done',
};

// Guards against accepting the reply of another request under the same key, and against giving up while the call is
// still running.
test.each([
	['the reply of the call', [reply], reply],
	['the reply of a call that completes later', [undefined, undefined, reply], reply],
	['the reply of another request', [{...reply, requestId: 'r2'}], undefined],
	['no reply on a target that does not answer', [], undefined],
])('looks up %s', async (_name, replies, expected) => {
	const clock = ManualClock.create();
	const remaining = [...replies];
	const service = {
		async lookup() {
			if (remaining.length === 0) {
				throw new Error('Cannot reach the service: it is down');
			}

			return remaining.shift();
		},
	} as unknown as ServicePort;
	const found = lookUpReply({
		clock, service, call, signal: new AbortController().signal,
	});
	await clock.advance(1000);
	await expect(found).resolves.toEqual(expected);
});
