import {expect, test} from 'vitest';
import type {LinkMessageType} from './link-message.js';
import {SendQueue} from './send-queue.js';

const payload = (cause: LinkMessageType, bytes: number) => ({cause, payload: new Uint8Array(bytes)});

function queueOf(...payloads: Array<ReturnType<typeof payload>>): SendQueue {
	const queue = SendQueue.create(1000);
	for (const item of payloads) {
		expect(queue.push(item)).toEqual([]);
	}

	return queue;
}

test('drops the oldest droppable payloads to make room for a message', () => {
	const queue = queueOf(payload('digest', 300), payload('digest', 301), payload('forward', 300));
	expect(queue.push(payload('forward', 350))?.map(({payload: {length}}) => length)).toEqual([300]);
	expect(queue.bytes).toBe(951);
});

// Guards against a peer that gets a delta for a digest that it never received: digests removed for a message that does not
// fit anyway would not be reported.
test('drops nothing for a message that does not fit even then', () => {
	const queue = queueOf(payload('digest', 300), payload('forward', 600));
	expect(queue.push(payload('forward', 800))).toBeUndefined();
	expect([queue.bytes, queue.shift()?.cause]).toEqual([900, 'digest']);
});
