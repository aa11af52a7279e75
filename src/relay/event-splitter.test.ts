import {Buffer} from 'node:buffer';
import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {EventSplitter} from './event-splitter.js';

describe('EventSplitter', () => {
	it('produces the same events and bytes for any chunking of a stream', () => {
		const event = fc.record({id: fc.integer({min: 0, max: 1e6}), data: fc.string({unit: fc.constantFrom('a', 'b', ' ', ':', 'é'), maxLength: 20}), crlf: fc.boolean()});
		fc.assert(fc.property(fc.array(event, {maxLength: 12}), fc.array(fc.integer({min: 1, max: 15})), fc.string({unit: fc.constantFrom('x', 'y'), maxLength: 5}), (events, chunkSizes, tail) => {
			const text = events.map(({id, data, crlf}) => `id: ${id}\ndata: ${data}\n\n`.replaceAll('\n', crlf ? '\r\n' : '\n')).join('') + tail;
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
		}), {seed: 3, numRuns: 500});
	});

	it('retains an incomplete event', () => {
		const splitter = EventSplitter.create();
		expect(splitter.push(Buffer.from('id: 1\ndata: a\n\nid: 2\nda'))).toHaveLength(1);
		expect(splitter.remainder.toString()).toBe('id: 2\nda');
	});
});
