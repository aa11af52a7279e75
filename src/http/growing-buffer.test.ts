import {Buffer} from 'node:buffer';
import {expect, it} from 'vitest';
import {GrowingBuffer} from './growing-buffer.js';

it('collects chunks in order, and keeps bytes that were handed out when more are appended', () => {
	const buffer = GrowingBuffer.create();
	buffer.append(Buffer.from('ab'));
	const first = buffer.bytes;
	buffer.append(Buffer.from('c'.repeat(10_000)));
	expect([first.toString(), buffer.length, buffer.bytes.toString()]).toEqual(['ab', 10_002, `ab${'c'.repeat(10_000)}`]);
	buffer.clear();
	expect([buffer.length, buffer.capacity, first.toString()]).toEqual([0, 0, 'ab']);
});

// Guards against memory that grows with the number of chunks: a target may send its body one byte at a time.
it('uses about as much memory as its bytes, however small the chunks', () => {
	const buffer = GrowingBuffer.create();
	const byte = Buffer.from('a');
	for (let index = 0; index < 100_000; index++) {
		buffer.append(byte);
	}

	expect(buffer.length).toBe(100_000);
	expect(buffer.capacity).toBeLessThanOrEqual(200_000);
	expect(buffer.bytes.equals(Buffer.alloc(100_000, 'a'))).toBe(true);
});
