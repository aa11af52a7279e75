import {Buffer} from 'node:buffer';
import process from 'node:process';
import {expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {BufferReclaimer} from './buffer-reclaimer.js';

const mebibyte = 1024 * 1024;

function reclaim({keptBytes = 0, usedBytes = 0, collectionMs = 0} = {}) {
	let nowMs = 0;
	const state = {bufferBytes: 0, usedBytes, collections: 0};
	const reclaimer = BufferReclaimer.create({
		maxGarbageBytes: 20 * mebibyte,
		usedBytes: () => state.usedBytes,
		bufferBytes: () => state.bufferBytes,
		collect() {
			state.collections++;
			nowMs += collectionMs;
			state.bufferBytes = state.usedBytes + keptBytes;
		},
		clock: {now: () => nowMs},
		logger: silentLoggerFactory('entry-vm'),
	});
	return {
		state, upload(bytes: number, chunkBytes = 65_536) {
			let peak = 0;
			for (let received = 0; received < bytes; received += chunkBytes) {
				state.bufferBytes += 3 * chunkBytes;
				reclaimer.received(chunkBytes);
				peak = Math.max(peak, state.bufferBytes);
			}

			return peak;
		},
	};
}

// Guards against an entry VM that is killed for the buffers of uploads which have ended (386 of 350 MiB with 100 of 4 MiB).
it('keeps the garbage of uploads near its bound', () => {
	const {state, upload} = reclaim({usedBytes: 40 * mebibyte});
	state.bufferBytes = state.usedBytes;
	expect(upload(400 * mebibyte)).toBeLessThan((40 + 20 + 16) * mebibyte);
	expect(state.collections).toBeGreaterThan(10);
});

// Guards against a process that does nothing but collect, since what it collects is still referred to.
it('does not try again for buffers that a collection has left', () => {
	const {state, upload} = reclaim({keptBytes: 100 * mebibyte});
	upload(70 * mebibyte);
	expect(state.collections).toBeLessThanOrEqual(10);
});

it('collects nothing while little is received, or most of it is in use', () => {
	const {state, upload} = reclaim();
	upload(6 * mebibyte);
	state.bufferBytes = 0;
	state.usedBytes = 500 * mebibyte;
	upload(40 * mebibyte);
	expect(state.collections).toBe(0);
});

// Guards against callers who keep an entry VM busy with collections.
it('spends at most a fifth of the time on collections', () => {
	const {state, upload} = reclaim({collectionMs: 20});
	upload(400 * mebibyte);
	expect(state.collections).toBe(1);
});

it('frees buffers of this process', () => {
	const reclaimer = BufferReclaimer.create({
		maxGarbageBytes: mebibyte, usedBytes: () => 0, clock: ManualClock.create(), logger: silentLoggerFactory('entry-vm'),
	});
	const allocate = () => Array.from({length: 64}, () => Buffer.alloc(mebibyte)).length;
	const before = process.memoryUsage().arrayBuffers;
	expect(allocate()).toBe(64);
	reclaimer.received(mebibyte);
	expect(process.memoryUsage().arrayBuffers - before).toBeLessThan(32 * mebibyte);
});
