import {expect, test} from 'vitest';
import fc from 'fast-check';
import type {Chunk} from '../targets/index.js';
import {StreamAssembler} from './stream-assembler.js';

const chunk = (index: number, attempt = 1): Chunk => ({
	requestId: 'r', stage: 's', attempt, index, text: `${index},`, done: index === 9,
});

// Guards against lost, duplicate or reordered chunks over any sequence of resumed attempts.
test('attempts that resume at any index deliver each chunk exactly once', () => {
	fc.assert(fc.property(fc.array(fc.tuple(fc.integer({min: 0, max: 9}), fc.integer({min: 1, max: 10})), {maxLength: 20}), spans => {
		const assembler = StreamAssembler.create();
		let attempt = 0;
		for (const [back, length] of [...spans, [0, 10] as const]) {
			attempt++;
			const start = Math.max(0, assembler.nextIndex - back);
			for (let index = start; index < Math.min(10, start + length); index++) {
				assembler.accept({requestId: 'r', stage: 's', attempt}, chunk(index, attempt));
			}
		}

		expect(assembler.text).toBe('0,1,2,3,4,5,6,7,8,9,');
	}), {seed: 11, numRuns: 300});
});

// Guards against delivering the answer of one request to another.
test('a chunk of another request, stage or attempt is an error', () => {
	const assembler = StreamAssembler.create();
	for (const id of [{requestId: 'x', stage: 's', attempt: 1}, {requestId: 'r', stage: 'x', attempt: 1}, {requestId: 'r', stage: 's', attempt: 2}]) {
		expect(() => assembler.accept(id, chunk(0))).toThrow('Cannot accept a chunk');
	}
});

// Guards against an undetected gap in an answer.
test('a skipped index is an error', () => {
	const assembler = StreamAssembler.create();
	expect(() => assembler.accept({requestId: 'r', stage: 's', attempt: 1}, chunk(1))).toThrow('index 1 follows -1');
});
