import {expect, it} from 'vitest';
import {memoryBoundsOf} from './memory-bounds.js';

const mebibyte = 1024 * 1024;
const full = {requestBytes: 40 * mebibyte, responseBytes: 48 * mebibyte, garbageBytes: 24 * mebibyte};

// Guards against bounds that a small entry VM cannot hold, and against a change for those that could hold them before.
it('bounds requests and responses by the memory that is left beside the process', () => {
	expect([undefined, 350e6, 1e9].map(memoryBytes => memoryBoundsOf(memoryBytes))).toEqual([full, full, full]);
	const {requestBytes, responseBytes} = memoryBoundsOf(210e6);
	expect([Math.round(requestBytes / mebibyte), Math.round(responseBytes / mebibyte)]).toEqual([14, 17]);
	expect(memoryBoundsOf(1e6)).toEqual({requestBytes: 10 * mebibyte, responseBytes: 12 * mebibyte, garbageBytes: 6 * mebibyte});
});
