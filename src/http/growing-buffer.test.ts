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

// Guards against memory that is taken before it is granted, and against a large block that stays behind a small body.
it('takes memory for the whole when it is reserved, and gives back what is not needed', () => {
	const buffer = GrowingBuffer.create();
	buffer.append(Buffer.from('ab'));
	expect(buffer.capacity).toBe(512);
	buffer.reserve(100_000);
	expect(buffer.capacity).toBe(100_000);
	buffer.append(Buffer.from('c'.repeat(40_000)));
	expect([buffer.capacity, buffer.length]).toEqual([100_000, 40_002]);
	expect([buffer.trim().toString(), buffer.capacity]).toEqual([`ab${'c'.repeat(40_000)}`, 40_002]);
	buffer.append(Buffer.from('d'));
	expect(buffer.trim().toString()).toBe(`ab${'c'.repeat(40_000)}d`);
});
