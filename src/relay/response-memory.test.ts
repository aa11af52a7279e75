import {expect, it} from 'vitest';
import {silentLoggerFactory} from '../logging/index.js';
import {ResponseMemory} from './response-memory.js';

// Guards against a process that ends since several responses without end use up its memory together.
it('ends the largest responses that are still received once the memory is used up', () => {
	const memory = ResponseMemory.create({maxBytes: 100, logger: silentLoggerFactory('requests')});
	const ended: string[] = [];
	const lease = (name: string) => memory.lease(() => {
		ended.push(name);
	});
	const complete = memory.lease();
	complete.set(50);
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
