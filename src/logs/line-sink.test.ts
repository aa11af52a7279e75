import type {Buffer} from 'node:buffer';
import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {LineSink} from './line-sink.js';

function create() {
	const clock = ManualClock.create();
	const written: string[] = [];
	const blocked: Array<() => void> = [];
	const state = {isBlocked: false, atMost: Infinity};
	const sink = LineSink.create({
		clock,
		fd: 1,
		write(_fd, bytes: Buffer, onDone) {
			const part = bytes.subarray(0, state.atMost);
			const finish = () => {
				written.push(part.toString());
				onDone(null, part.length);
			};

			if (state.isBlocked) {
				blocked.push(finish);
			} else {
				finish();
			}
		},
	});
	return {
		clock, written, blocked, state, sink,
	};
}

describe('LineSink', () => {
	it('writes several lines at once', async () => {
		const {sink, clock, written} = create();
		sink.write('a');
		sink.write('b');
		await clock.advance(100);
		expect(written).toEqual(['a\nb\n']);
	});

	it('writes the rest after a short write', async () => {
		const {sink, clock, written, state} = create();
		state.atMost = 2;
		sink.write('abc');
		await clock.advance(100);
		expect(written.join('')).toBe('abc\n');
	});

	it('drops lines while the reader is slow, and tells how many', async () => {
		const {sink, clock, written, blocked, state} = create();
		state.isBlocked = true;
		sink.write('first');
		await clock.advance(100);
		const line = 'x'.repeat(999);
		const taken = Array.from({length: 2000}, () => sink.write(line)).filter(Boolean).length;
		expect(taken).toBeLessThan(1100);
		state.isBlocked = false;
		blocked[0]!();
		await clock.advance(200);
		expect(written.join('')).toContain(`"lines":${2000 - taken}`);
	});

	it('bounds the volume under load', async () => {
		const {sink, clock, written} = create();
		const line = 'x'.repeat(999);
		for (let step = 0; step < 200; step++) {
			for (let each = 0; each < 50; each++) {
				sink.write(line);
			}

			await clock.advance(50);
		}

		const bytes = written.join('').length;
		expect(bytes).toBeLessThan((10 * 256 * 1024) + (1024 * 1024) + 20_000);
		expect(bytes).toBeGreaterThan(10 * 200 * 1024);
	});
});
