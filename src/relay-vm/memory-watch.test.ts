import {expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {MemoryWatch, readMemory, type MemoryUse} from './memory-watch.js';

const low: MemoryUse = {
	heapBytes: 50e6, heapLimitBytes: 200e6, bufferBytes: 10e6, residentBytes: 90e6, residentLimitBytes: 350e6,
};

function watchMemory() {
	const clock = ManualClock.create();
	const lines: Array<Record<string, unknown>> = [];
	let use = low;
	const watch = MemoryWatch.create({
		clock,
		logger: {
			...silentLoggerFactory('entry-vm'), warn(message, fields = {}) {
				lines.push({message, ...fields});
			},
		},
		read: () => use,
	});
	watch.start();
	return {
		clock, lines, watch, async use(fields: Partial<MemoryUse>, ms = 250) {
			use = {...low, ...fields};
			await clock.advance(ms);
		},
	};
}

// Guards against an end for want of memory that leaves nothing in the log.
it('logs memory near a limit once a step, whichever limit it is', async () => {
	const {lines, use} = watchMemory();
	await use({heapBytes: 149e6});
	expect(lines).toEqual([]);
	await use({heapBytes: 151e6});
	await use({heapBytes: 152e6}, 1000);
	expect(lines).toEqual([{
		message: 'Memory is near its limit.', share: 0.76, heap_mb: 151, heap_limit_mb: 200, buffers_mb: 10, resident_mb: 90, resident_limit_mb: 350,
	}]);
	await use({residentBytes: 340e6});
	expect(lines.map(({share}) => share)).toEqual([0.76, 0.97]);
});

it('logs it again after a while, and after it has fallen, but not at each change', async () => {
	const {lines, use, watch} = watchMemory();
	for (let round = 0; round < 20; round++) {
		await use({heapBytes: round % 2 === 0 ? 152e6 : 148e6});
	}

	expect(lines).toHaveLength(1);
	await use({heapBytes: 152e6}, 10_000);
	expect(lines).toHaveLength(2);
	await use({});
	await use({heapBytes: 160e6});
	expect(lines).toHaveLength(3);
	watch.close();
	await use({heapBytes: 199e6}, 20_000);
	expect(lines).toHaveLength(3);
});

it('reads the memory of this process', () => {
	const use = readMemory();
	expect(use.heapBytes).toBeGreaterThan(1e6);
	expect(use.heapLimitBytes).toBeGreaterThan(use.heapBytes);
	expect(use.residentBytes).toBeGreaterThan(use.heapBytes / 2);
	expect(use.residentLimitBytes).toBeGreaterThan(use.residentBytes);
});
