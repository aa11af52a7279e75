import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {EventSplitter} from './event-splitter.js';

describe('EventSplitter', () => {
	it('produces the same events and bytes for any chunking of a stream', () => {
		const event = fc.record({
			id: fc.integer({min: 0, max: 1e6}), data: fc.string({unit: fc.constantFrom('a', 'b', ' ', ':', 'é'), maxLength: 20}), lineEnd: fc.constantFrom('\n', '\r\n', '\r'), before: fc.constantFrom('', '\n', ':wait\n\n', 'retry: 5\n\n'),
		});
		fc.assert(fc.property(fc.array(event, {maxLength: 12}), fc.array(fc.integer({min: 1, max: 15})), fc.string({unit: fc.constantFrom('x', 'y'), maxLength: 5}), (events, chunkSizes, tail) => {
			// A CR and an LF of different lines next to each other would be one line end.
			const texts = events.map(({id, data, lineEnd, before}) => `${before}id: ${id}\ndata: ${data}\n\n`.replaceAll('\n', lineEnd));
			const text = texts.join('\n') + tail;
			const bytes = Buffer.from(text);
			const splitter = EventSplitter.create();
			const seen = [];
			let offset = 0;
			for (const size of [...chunkSizes, bytes.length]) {
				seen.push(...splitter.push(bytes.subarray(offset, offset + size)));
				offset += size;
			}

			expect(seen.map(({id}) => id)).toEqual(events.map(({id}) => id));
			expect(Buffer.concat([...seen.map(({bytes: part}) => part), splitter.remainder]).equals(bytes)).toBe(true);
			expect(splitter.isInsideEvent).toBe(tail !== '');
		}), {seed: 3, numRuns: 500});
	});

	it('retains an incomplete event', () => {
		const splitter = EventSplitter.create();
		expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).toHaveLength(1);
		expect([splitter.remainder.toString(), splitter.isInsideEvent]).toEqual(['id: 2\nda', true]);
	});

	// Guards against CONFIG of review/1: each of them counted as an event, which kept a stream alive that had none.
	it.each(['\n\n', '\r\n\r\n', '\r\r', ':\n\n', 'retry: 1\n\n', 'x\n\n', 'id: x\n\n'])('takes no event out of %j', text => {
		const splitter = EventSplitter.create();
		expect(splitter.push(Buffer.from(text.repeat(100)))).toEqual([]);
		expect([splitter.remainderLength, splitter.isInsideEvent]).toEqual([text.length * 100, false]);
		expect(splitter.push(Buffer.from('data: a\n\n')).map(({bytes}) => bytes.toString())).toEqual([`${text.repeat(100)}data: a\n\n`]);
	});

	// Guards against an event that waits for the one after it.
	it.each(['data: a\n\n', 'data: a\r\n\r\n', 'data: a\r\r'])('returns %j as soon as it is there, byte by byte', text => {
		const splitter = EventSplitter.create();
		const events = [...text].flatMap(byte => splitter.push(Buffer.from(byte)));
		expect(events.map(({bytes}) => bytes.toString())).toEqual([text]);
	});

	it('takes an id of too many digits for none', () => {
		expect(EventSplitter.create().push(Buffer.from(`id: ${'9'.repeat(400)}\ndata: a\n\n`)).map(({id}) => id)).toEqual([undefined]);
	});

	// Guards against CONFIG of review/1: the time for a chunk grew with the square of its length.
	it.each(['\r\n', '\n', 'data: a\n\n', 'a'])('takes time in proportion to the length of a chunk of %j', text => {
		const blocks = 64;
		const chunk = Buffer.from(text.repeat(65_536 / text.length));
		const splitter = EventSplitter.create();
		const startedMs = performance.now();
		for (let index = 0; index < blocks; index++) {
			splitter.push(chunk);
		}

		// 64 KiB of blank lines took 2,600 ms.
		expect((performance.now() - startedMs) / blocks).toBeLessThan(100);
	});
});
