import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import type {PlatformLog} from '../platform-log/index.js';
import {BatchWriter} from './batch-writer.js';

// Guards against an unbounded number of concurrent appends while the log does not answer, and against appending a
// cancelled record.
test('a log that does not answer gets a bounded number of appends', async () => {
	const clock = ManualClock.create();
	const batches: unknown[][] = [];
	const answers: Array<() => void> = [];
	const log = {
		async append(_stream: string, records: readonly unknown[]) {
			batches.push([...records]);
			await new Promise<void>(resolve => {
				answers.push(resolve);
			});
			return {offset: 0};
		},
	} as unknown as PlatformLog;
	const writer = BatchWriter.create({
		clock, log, stream: 'claims', maxInFlight: 2,
	});
	const results = [];
	for (let index = 0; index < 50; index++) {
		results.push(writer.append(index));
		await clock.advance(20);
	}

	expect(batches).toHaveLength(2);
	results[49]!.cancel();
	await expect(results[49]!.result).resolves.toBe('refused');
	answers[0]!();
	await clock.advance(20);
	expect(batches.map(batch => batch.length)).toEqual([1, 1, 47]);
	expect(batches.flat()).not.toContain(49);
});
