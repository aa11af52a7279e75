import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {RelayTarget} from '../registry/index.js';
import {CrashWatch, type BrokenAttempt, type TargetCrash} from './crash-watch.js';
import type {ProbeResult} from './target-attempt.js';

const target = () => RelayTarget.create({
	id: 'e-1', service: 'engines', address: '127.0.0.1:1', zone: 'riga-a', slots: 4, isDraining: false, startedMs: 1,
});
const attempt = (attemptId: string): BrokenAttempt => ({
	attemptId, parts: ['a'], progress: 'begun', sentMs: 0, brokenMs: 10,
});

function createWatch(...results: ProbeResult[]) {
	const crashes: TargetCrash[] = [];
	let probes = 0;
	let failure: Error | undefined;
	const clock = ManualClock.create();
	const watch = CrashWatch.create({
		clock,
		logger: silentLoggerFactory('targets'),
		async probe() {
			probes++;
			if (failure) {
				const err = failure;
				failure = undefined;
				throw err;
			}

			return results[Math.min(probes, results.length) - 1]!;
		},
		onCrash(crash) {
			crashes.push(crash);
		},
	});
	return {
		watch, crashes, probes: () => probes, settle: async () => clock.advance(1), fail(err: Error) {
			failure = err;
		},
	};
}

describe('CrashWatch', () => {
	it('reports all attempts that one crash cut off, with one probe', async () => {
		const {watch, crashes, probes, settle} = createWatch('gone');
		const engine = target();
		watch.attemptBroken(engine, attempt('1'));
		watch.attemptBroken(engine, attempt('2'));
		await settle();
		expect([probes(), crashes.map(({attempts}) => attempts.map(({attemptId}) => attemptId))]).toEqual([1, [['1', '2']]]);
	});

	it.each(['alive', 'silent'] as const)('reports no crash of a target that is %s', async result => {
		const {watch, crashes, settle} = createWatch(result);
		watch.attemptBroken(target(), attempt('1'));
		await settle();
		expect(crashes).toEqual([]);
	});

	// Guards against a crash that is not counted, since the probe's connection was made just before the target ended.
	it('probes a target again whose first probe is cut off', async () => {
		const {watch, crashes, probes, settle} = createWatch('silent', 'gone');
		watch.attemptBroken(target(), attempt('1'));
		await settle();
		expect([probes(), crashes.length]).toEqual([2, 1]);
	});

	it('reports no crash of a target that is draining', async () => {
		const {watch, probes, settle} = createWatch('gone');
		const engine = target();
		engine.isDraining = true;
		watch.attemptBroken(engine, attempt('1'));
		await settle();
		expect(probes()).toBe(0);
	});

	// Guards against a target that is never probed again after one probe with an error, which nothing handled.
	it('probes a target anew after a probe with an error', async () => {
		const {watch, crashes, probes, settle, fail} = createWatch('gone');
		const engine = target();
		fail(new Error('thrown by the probe'));
		watch.attemptBroken(engine, attempt('1'));
		await settle();
		expect([probes(), crashes]).toEqual([1, []]);
		watch.attemptBroken(engine, attempt('2'));
		await settle();
		expect([probes(), crashes.map(({attempts}) => attempts.map(({attemptId}) => attemptId))]).toEqual([2, [['2']]]);
	});
});
