import type {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {LineSink} from './line-sink.js';

function create() {
	const clock = ManualClock.create();
	const written: string[] = [];
	const blockedWrites: Array<() => void> = [];
	const state = {isBlocked: false, maxWriteBytes: Infinity};
	const sink = LineSink.create({
		clock,
		fd: 1,
		write(_fd, bytes: Buffer, onDone) {
			const writtenBytes = bytes.subarray(0, state.maxWriteBytes);
			const finish = () => {
				written.push(writtenBytes.toString());
				onDone(null, writtenBytes.length);
			};

			if (state.isBlocked) {
				blockedWrites.push(finish);
			} else {
				finish();
			}
		},
	});
	return {
		clock, written, blockedWrites, state, sink,
	};
}

describe('LineSink', () => {
	it('writes several lines in one write', async () => {
		const {sink, clock, written} = create();
		sink.write('a');
		sink.write('b');
		await clock.advance(100);
		expect(written).toEqual(['a\nb\n']);
	});

	it('writes the remaining bytes after a partial write', async () => {
		const {sink, clock, written, state} = create();
		state.maxWriteBytes = 2;
		sink.write('abc');
		await clock.advance(100);
		expect(written.join('')).toBe('abc\n');
	});

	it('drops lines while the reader is slow, and reports how many', async () => {
		const {sink, clock, written, blockedWrites, state} = create();
		state.isBlocked = true;
		sink.write('first');
		await clock.advance(100);
		const line = 'x'.repeat(999);
		const accepted = Array.from({length: 2000}, () => sink.write(line)).filter(Boolean).length;
		expect(accepted).toBeLessThan(1100);
		state.isBlocked = false;
		blockedWrites[0]!();
		await clock.advance(200);
		expect(written.join('')).toContain(`"lines":${2000 - accepted}`);
	});

	it('limits the write rate under load', async () => {
		const {sink, clock, written} = create();
		const line = 'x'.repeat(999);
		for (let step = 0; step < 200; step++) {
			for (let i = 0; i < 50; i++) {
				sink.write(line);
			}

			await clock.advance(50);
		}

		const bytes = written.join('').length;
		expect(bytes).toBeLessThan((10 * 256 * 1024) + (1024 * 1024) + 20_000);
		expect(bytes).toBeGreaterThan(10 * 200 * 1024);
	});
});
