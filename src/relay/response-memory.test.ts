import {expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {ResponseMemory} from './response-memory.js';

// Guards against a process that ends since several responses without end use up its memory together.
it('ends the largest responses that are still received once the memory is used up', () => {
	const memory = ResponseMemory.create({maxBytes: 100, clock: ManualClock.create(), logger: silentLoggerFactory('requests')});
	const ended: string[] = [];
	const lease = (name: string) => memory.lease(() => {
		ended.push(name);
	});
	const complete = memory.deliver(50, () => {
		ended.push('complete');
	});
	const [small, large] = [lease('small'), lease('large')];
	small.set(10);
	large.set(40);
	expect([ended, memory.bytes]).toEqual([[], 100]);
	small.set(11);
	expect([ended, memory.bytes]).toEqual([['large'], 61]);
	large.set(90);
	large.release();
	small.release();
	small.release();
	complete.release();
	expect([ended, memory.bytes]).toEqual([['large'], 0]);
});

// Guards against callers that do not read: their responses used up the memory for good, so that no other was received.
it('ends the responses first that callers have been reading for long', async () => {
	const clock = ManualClock.create();
	const memory = ResponseMemory.create({maxBytes: 100, clock, logger: silentLoggerFactory('requests')});
	const ended: string[] = [];
	const deliver = (name: string) => memory.deliver(40, () => {
		ended.push(name);
	});
	deliver('old');
	await clock.advance(4000);
	deliver('new');
	const received = memory.lease(() => {
		ended.push('received');
	});
	await clock.advance(2000);
	received.set(20);
	expect(ended).toEqual([]);
	received.set(21);
	expect([ended, memory.bytes]).toEqual([['old'], 61]);
	received.set(61);
	expect([ended, memory.bytes]).toEqual([['old', 'received'], 40]);
});

// Guards against a reset of a response that its caller reads slowly, but steadily, while another one is not read at all.
it('spares a response of which its caller takes a part every few seconds', async () => {
	const clock = ManualClock.create();
	const memory = ResponseMemory.create({maxBytes: 100, clock, logger: silentLoggerFactory('requests')});
	const ended: string[] = [];
	const deliver = (name: string, unreadBytes: () => number) => memory.deliver(32, () => {
		ended.push(name);
	}, unreadBytes);
	const startedMs = clock.now();
	deliver('steady', () => Math.max(0, 32 - ((clock.now() - startedMs) / 2000)));
	deliver('slow', () => Math.max(0, 32 - ((clock.now() - startedMs) / 5000)));
	await clock.advance(4000);
	deliver('unread', () => 32);
	const received = memory.lease(() => {
		ended.push('received');
	});
	await clock.advance(4600);
	received.set(5);
	expect(ended).toEqual(['slow']);
	await clock.advance(20_000);
	received.set(38);
	expect(ended).toEqual(['slow', 'unread']);
	received.set(70);
	expect(ended).toEqual(['slow', 'unread', 'received']);
});

// Guards against a response that counts as taken before it is written, and so as not read from then on.
it('sees what a caller takes of a response that used up the memory', async () => {
	const clock = ManualClock.create();
	const memory = ResponseMemory.create({maxBytes: 100, clock, logger: silentLoggerFactory('requests')});
	const ended: string[] = [];
	const receive = (name: string, bytes: number) => {
		memory.lease(() => {
			ended.push(name);
		}).set(bytes);
	};

	receive('before', 90);
	let unreadBytes = 0;
	memory.deliver(32, () => {
		ended.push('delivered');
	}, () => unreadBytes);
	for (unreadBytes = 32; unreadBytes > 24; unreadBytes--) {
		await clock.advance(1000);
	}

	receive('after', 80);
	expect(ended).toEqual(['before', 'after']);
});
