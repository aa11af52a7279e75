import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {TopicFollower} from '../topics/index.js';
import {configLongPollMs} from './config-read-times.js';

/** Bound of the users' platform between the acknowledgement of a change and its effect, and the time of a read from another region. */
const applyBoundMs = 2500;
const readMs = 100;

// Guards against a revoked key that still worked at members of a cell whose leader was cut off from the store just before the change.
test('a member reads the configuration itself in time after the last news of a leader that has lost the store', async () => {
	const clock = ManualClock.create();
	let reads = 0;
	const follower = TopicFollower.create({
		name: 'configuration',
		topic: {
			newest: async () => ({records: [], end: 0, era: 1}),
			async read(from, waitMs) {
				reads++;
				await clock.sleep(waitMs);
				return {
					kind: 'records', records: [], next: from, era: 1,
				};
			},
		},
		clock,
		logger: silentLoggerFactory('config'),
		pollMs: 0,
		waitMs: configLongPollMs,
		onSnapshot: () => undefined,
		onRecords: () => undefined,
	});
	follower.start();
	await clock.advance(1);
	// The read under way ends before the last news do.
	await clock.advance(configLongPollMs - 10);
	follower.receive({
		era: 1, from: 0, next: 0, records: [], outageMs: 0,
	});
	await clock.advance(20);
	const before = reads;
	await clock.advance(applyBoundMs - readMs - 20);
	expect(reads).toBeGreaterThan(before);
	follower.stop();
});
