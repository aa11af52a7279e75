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
