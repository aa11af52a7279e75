import {describe, expect, it} from 'vitest';
import {countPeak} from '../../test/support/count-peak.js';
import {Random} from '../random/index.js';
import {ServiceRetryBudget} from './service-retry-budget.js';
import type {PieceResult, StageJob, StageJobOutcome} from './stage-job.js';
import {StagePool, type StageCall} from './stage-pool.js';

const limits = {
	slots: 1, queue: 2, batch: 7, callMs: 200, pieceMs: 24, resultMemoryMb: 15, resultTtlMs: 4000,
};

const job = (id: string, fields: Partial<StageJob> = {}): StageJob => ({
	id, attemptId: id, stage: 0, pieces: 1, key: 'k', inputs: [], resultBytes: 8000, transfers: [], priority: 0, startByMs: 1000, deadlineMs: 6000, isCommitted: false, ...fields,
});

const target = (id: string, zone = 'riga-a') => ({id, address: `${id}:80`, zone});

function create(targets = [target('t1')], budgetSlack = 100) {
	const unused: string[] = [];
	const pool = StagePool.create({
		limits,
		budget: ServiceRetryBudget.create({limits: {windowMs: 10_000, ratio: 0.2, slack: budgetSlack}, share: () => 1}),
		onUnused(handle) {
			unused.push(handle);
		},
	});
	pool.setTargets(targets);
	const outcomes = new Map<string, StageJobOutcome>();
	const submit = (each: StageJob, now = 0) => {
		pool.submit(each, outcome => {
			outcomes.set(each.id, outcome);
		}, now);
	};

	return {
		pool, outcomes, unused, submit,
	};
}

let handles = 0;
const results = (call: StageCall): PieceResult[] => call.pieces.map(() => ({handle: `h${handles++}`}));
/** Runs one job per round and frees its results 100 ms after their call; returns the end time. */
function freeAfter100Ms({pool, submit}: Pick<ReturnType<typeof create>, 'pool' | 'submit'>, {rounds, ...fields}: Partial<StageJob> & {rounds: number}): number {
	let now = 0;
	for (let round = 0; round < rounds; round++) {
		submit(job(`r${round}`, fields), now);
		const [call] = pool.nextCalls(now);
		now += 400;
		const made = results(call!);
		pool.endCall(call!.id, {kind: 'done', results: made}, now);
		now += 100;
		for (const result of made) {
			pool.removeResult((result as {handle: string}).handle, now);
		}
	}

	return now;
}

const idsOf = (call: StageCall | undefined) => call?.pieces.map(piece => piece.job.id);

describe('StagePool', () => {
	// Guards against sound requests that come under suspicion at each crash, since their pieces go on in the same calls as the deadly ones.
	it('sends the pieces of a call that was cut off again by job, and each job to one target at a time until one of its calls ends well', () => {
		const targets = ['t1', 't2', 't3', 't4'].map(id => target(id));
		const {pool, submit} = create([targets[0]!]);
		submit(job('a', {pieces: 3}));
		submit(job('b'));
		const [first] = pool.nextCalls(0);
		expect(idsOf(first)).toEqual(['a', 'a', 'a', 'b']);
		pool.setTargets(targets);
		pool.endCall(first!.id, {kind: 'unreachable', lost: 'broken'}, 100);
		submit(job('c'));
		submit(job('d'));
		const calls = pool.nextCalls(100);
		expect(calls.map(call => idsOf(call)!.join(' ')).toSorted((a, b) => a.localeCompare(b))).toEqual(['a a a', 'b', 'c d']);
		for (const call of calls) {
			pool.endCall(call.id, idsOf(call)!.includes('a') ? {kind: 'refused'} : {kind: 'done', results: results(call)}, 150);
		}

		submit(job('e'), 150);
		expect(pool.nextCalls(150).map(call => idsOf(call)!.join(' ')).toSorted((a, b) => a.localeCompare(b))).toEqual(['a a a', 'e']);
	});

	it('batches the pieces of a call without a response in time as before', () => {
		const {pool, submit} = create([target('t1'), target('t2')]);
		submit(job('a'));
		submit(job('b'));
		const [first] = pool.nextCalls(0);
		pool.endCall(first!.id, {kind: 'unreachable', lost: 'silent'}, 100);
		expect(pool.nextCalls(100).map(call => idsOf(call)!.toSorted())).toEqual([['a', 'b']]);
	});

	it('batches jobs that arrive while a target is busy', () => {
		const {pool, submit} = create();
		submit(job('a'));
		const [first] = pool.nextCalls(0);
		expect(idsOf(first)).toEqual(['a']);
		for (const id of ['b', 'c', 'd']) {
			submit(job(id));
		}

		expect(pool.nextCalls(10)).toEqual([]);
		pool.endCall(first!.id, {kind: 'done', results: results(first!)}, 224);
		expect(idsOf(pool.nextCalls(224)[0])).toEqual(['b', 'c', 'd']);
	});

	// Guards against calls to the address of an earlier start, which reached nothing until the target was removed.
	it('calls a target that has started again under its id at its new address', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a'));
		const [first] = pool.nextCalls(0);
		pool.setTargets([{...target('t1'), address: 't1:81'}]);
		submit(job('b'));
		// The earlier start has ended with its call, which says nothing about the later one.
		pool.endCall(first!.id, {kind: 'unreachable'}, 20);
		const [second] = pool.nextCalls(20);
		expect([idsOf(second)?.toSorted(), second?.target.address]).toEqual([['a', 'b'], 't1:81']);
		pool.endCall(second!.id, {kind: 'done', results: results(second!)}, 220);
		expect([...outcomes.keys()].toSorted()).toEqual(['a', 'b']);
	});

	it('serves on-time jobs before late ones, the most urgent first', () => {
		const {pool, submit} = create();
		submit(job('late', {startByMs: -1, pieces: 3}));
		submit(job('later', {startByMs: 900, pieces: 3}));
		submit(job('soon', {startByMs: 300, pieces: 3}));
		expect(idsOf(pool.nextCalls(0)[0])).toEqual(['soon', 'soon', 'soon', 'later', 'later', 'later']);
	});

	it('serves a higher priority first', () => {
		const {pool, submit} = create();
		submit(job('low', {startByMs: 500, priority: 2, pieces: 4}));
		submit(job('high', {startByMs: 600, priority: 0, pieces: 4}));
		expect(idsOf(pool.nextCalls(0)[0])![0]).toBe('high');
	});

	it('does not split a job that fits into one call', () => {
		const {pool, submit} = create();
		submit(job('a', {pieces: 4}));
		submit(job('b', {pieces: 4, startByMs: 1100}));
		submit(job('c', {pieces: 3, startByMs: 1200}));
		expect(idsOf(pool.nextCalls(0)[0])).toEqual(['a', 'a', 'a', 'a', 'c', 'c', 'c']);
	});

	it('splits a job that is larger than one call', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a', {pieces: 10}));
		const [first] = pool.nextCalls(0);
		expect(first!.pieces).toHaveLength(7);
		pool.endCall(first!.id, {kind: 'done', results: results(first!)}, 400);
		const [second] = pool.nextCalls(400);
		expect(second!.pieces.map(piece => piece.piece)).toEqual([7, 8, 9]);
		pool.endCall(second!.id, {kind: 'done', results: results(second!)}, 800);
		expect(outcomes.get('a')).toHaveProperty('results.length', 10);
	});

	it('never exceeds the result memory of a target, results already held included', () => {
		const {pool, submit} = create();
		const large = {resultBytes: 2_000_000, pieces: 3};
		for (const id of ['a', 'b', 'c', 'd']) {
			submit(job(id, large));
		}

		const [first] = pool.nextCalls(0);
		expect(idsOf(first)).toEqual(['a', 'a', 'a', 'b', 'b', 'b']);
		const made = results(first!);
		pool.endCall(first!.id, {kind: 'done', results: made}, 400);
		expect(pool.nextCalls(400)).toEqual([]);
		for (const result of made.slice(0, 3)) {
			pool.removeResult((result as {handle: string}).handle, 410);
		}

		expect(idsOf(pool.nextCalls(410)[0])).toEqual(['c', 'c', 'c']);
	});

	// Guards against repeated calls that run out of memory, as when entry VMs that cannot reach each other use the same targets.
	it('uses less memory after a call that ran out of it and more again later', () => {
		const {pool, submit} = create();
		const large = {
			resultBytes: 1_500_000, pieces: 7, deadlineMs: 60_000, startByMs: 50_000,
		};
		submit(job('a', large));
		const [first] = pool.nextCalls(0);
		pool.endCall(first!.id, {kind: 'done', results: first!.pieces.map((_, index): PieceResult => index < 3 ? {handle: `a${index}`} : {problem: 'room'})}, 300);
		pool.cancel('a');
		for (const handle of ['a0', 'a1', 'a2']) {
			pool.removeResult(handle, 300);
		}

		submit(job('b', {...large, pieces: 7}));
		submit(job('held', {pieces: 1}), 300);
		const [second] = pool.nextCalls(300);
		expect(idsOf(second)).toEqual(['held']);
		pool.endCall(second!.id, {kind: 'done', results: results(second!)}, 500);
		expect(pool.nextCalls(500)).toEqual([]);
		expect(idsOf(pool.nextCalls(3000)[0])).toEqual(['b', 'b', 'b', 'b', 'b', 'b', 'b']);
	});

	// Guards against one isolated entry VM, which hosts the pools for itself, taking slots that the others use.
	it('makes few, full calls with a small share of the work', () => {
		const {pool, submit} = create([target('t1'), target('t2'), target('t3'), target('t4')]);
		submit(job('a', {pieces: 5}));
		submit(job('b', {pieces: 5}));
		expect(pool.nextCalls(0, 1 / 9)).toHaveLength(1);
		expect(pool.nextCalls(1, 1 / 9)).toHaveLength(0);
		expect(pool.nextCalls(2)).toHaveLength(1);
	});

	// Guards against a backlog of late jobs, as after an outage, making new jobs late as well.
	it('reserves targets and memory for jobs that can still be on time', () => {
		const {pool, submit} = create([target('t1'), target('t2'), target('t3'), target('t4')]);
		for (let each = 0; each < 12; each++) {
			submit(job(`late${each}`, {pieces: 3, startByMs: -1}));
		}

		expect(pool.nextCalls(0)).toHaveLength(2);
		submit(job('fresh', {startByMs: 500}), 10);
		expect(pool.nextCalls(10).map(call => idsOf(call)![0])).toEqual(['fresh']);
	});

	it('serves committed late jobs before others', () => {
		const {pool, submit} = create();
		submit(job('fresh', {pieces: 4, startByMs: 200}));
		submit(job('late', {pieces: 4, startByMs: -1}));
		submit(job('committed', {pieces: 4, startByMs: -1, isCommitted: true}));
		expect(idsOf(pool.nextCalls(0)[0])![0]).toBe('committed');
	});

	it('counts the memory of a result as free once it has expired', () => {
		const {pool, submit} = create();
		submit(job('a', {resultBytes: 1_500_000, pieces: 7}));
		const [first] = pool.nextCalls(0);
		pool.endCall(first!.id, {kind: 'done', results: results(first!)}, 400);
		submit(job('b', {resultBytes: 1_500_000, pieces: 7, deadlineMs: 9000}), 400);
		expect(pool.nextCalls(4300)).toEqual([]);
		expect(pool.nextCalls(4401)).toHaveLength(1);
	});

	it('leaves a job with a large transfer to the zone of its inputs while a target there is about to be idle', () => {
		const {pool, submit} = create([target('near', 'riga-a'), target('far', 'liepaja-a')]);
		submit(job('first', {pieces: 7, transfers: [{zone: 'riga-a', bytes: 4e6}]}));
		const calls = pool.nextCalls(0);
		expect(calls.map(call => call.target.id)).toEqual(['near']);
		const nearEndsMs = calls[0]!.expectedMs;
		submit(job('second', {pieces: 3, startByMs: 2000, transfers: [{zone: 'riga-a', bytes: 4e6}]}), nearEndsMs - 50);
		expect(pool.nextCalls(nearEndsMs - 50)).toEqual([]);
		pool.endCall(calls[0]!.id, {kind: 'done', results: results(calls[0]!)}, nearEndsMs);
		expect(pool.nextCalls(nearEndsMs).map(call => call.target.id)).toEqual(['near']);
	});

	it('sends a job with a large transfer to another zone when it runs out of slack', () => {
		const {pool, submit} = create([target('near', 'riga-a'), target('far', 'liepaja-a')]);
		submit(job('first', {pieces: 7, transfers: [{zone: 'riga-a', bytes: 4e6}]}));
		const nearEndsMs = pool.nextCalls(0)[0]!.expectedMs;
		submit(job('second', {pieces: 3, startByMs: nearEndsMs + 100, transfers: [{zone: 'riga-a', bytes: 4e6}]}), nearEndsMs - 50);
		expect(pool.nextCalls(nearEndsMs - 50).map(call => call.target.id)).toEqual(['far']);
	});

	// Guards against jobs that wait for the targets of one overloaded zone because most results are there.
	it('sends jobs with large transfers to other zones when the targets near their inputs are busy for long', () => {
		const {pool, submit} = create([target('near', 'riga-a'), target('far', 'liepaja-a')]);
		submit(job('first', {pieces: 7, transfers: [{zone: 'riga-a', bytes: 4e6}]}));
		pool.nextCalls(0);
		submit(job('second', {pieces: 3, startByMs: 2000, transfers: [{zone: 'riga-a', bytes: 4e6}]}), 10);
		expect(pool.nextCalls(10).map(call => call.target.id)).toEqual(['far']);
	});

	it('sends jobs with large transfers to other zones when they exceed the next call near their inputs', () => {
		const {pool, submit} = create([target('near', 'riga-a'), target('far', 'liepaja-a')]);
		for (const id of ['a', 'b', 'c']) {
			submit(job(id, {pieces: 3, startByMs: 2000, transfers: [{zone: 'riga-a', bytes: 4e6}]}));
		}

		expect(pool.nextCalls(0).map(call => [call.target.id, ...new Set(idsOf(call))])).toEqual([['near', 'a', 'b'], ['far', 'c']]);
	});

	// Guards against calls held back for lack of memory: results are usually freed soon, so most of the memory of a target is free by the end of its next call.
	it('counts on the memory of results that are usually freed during the call', () => {
		const {pool, submit} = create();
		const small = {
			resultBytes: 2_000_000, pieces: 3, startByMs: 90_000, deadlineMs: 99_000,
		};
		let now = freeAfter100Ms({pool, submit}, {...small, rounds: 10});

		submit(job('a', {...small, pieces: 6}), now);
		const [first] = pool.nextCalls(now);
		now += 400;
		pool.endCall(first!.id, {kind: 'done', results: results(first!)}, now);
		submit(job('b', {...small, pieces: 6}), now);
		expect(idsOf(pool.nextCalls(now + 10)[0])).toHaveLength(6);
	});

	it('does not count on the memory of results that are held longer than usual', () => {
		const {pool, submit} = create();
		const small = {
			resultBytes: 2_000_000, pieces: 6, startByMs: 90_000, deadlineMs: 99_000,
		};
		let now = freeAfter100Ms({pool, submit}, {...small, rounds: 5});

		submit(job('a', small), now);
		const [first] = pool.nextCalls(now);
		now += 400;
		pool.endCall(first!.id, {kind: 'done', results: results(first!)}, now);
		submit(job('b', small), now);
		expect(pool.nextCalls(now + 150)).toEqual([]);
	});

	// Guards against a brittle target that crashes since it has to refuse calls again and again.
	it.each([[undefined, 152], [20, 152], [4, 502], [0, 4002], [Number.NaN, 152]])('backs off from a target that may refuse %j calls a second until %d ms', (brittlePerSecond, untilMs) => {
		const {pool, submit} = create([target('t1')]);
		submit(job('a', {deadlineMs: 60_000}));
		const [first] = pool.nextCalls(1);
		pool.endCall(first!.id, {kind: 'refused', brittlePerSecond}, 2);
		expect([pool.nextCalls(untilMs - 1).length, pool.nextCalls(untilMs).length]).toEqual([0, 1]);
	});

	it('retries pieces that a target refused and backs off from the target', () => {
		const {pool, submit, outcomes} = create([target('t1'), target('t2')]);
		submit(job('a'));
		const [first] = pool.nextCalls(0);
		pool.endCall(first!.id, {kind: 'refused'}, 2);
		const [second] = pool.nextCalls(2);
		expect(second!.target.id).not.toBe(first!.target.id);
		pool.endCall(second!.id, {kind: 'done', results: results(second!)}, 230);
		expect(outcomes.get('a')).toHaveProperty('results.length', 1);
	});

	// Guards against repeats that reach a service together although they were granted in different windows.
	it('counts a piece that is sent again when its call starts, and not if it never does', () => {
		const budget = ServiceRetryBudget.create({limits: {windowMs: 10_000, ratio: 0, slack: 3}, share: () => 1});
		const pool = StagePool.create({limits, budget, onUnused: () => undefined});
		pool.setTargets([target('t1')]);
		expect(budget.reserve(0, 3)).toBe(true);
		pool.submit(job('sent', {pieces: 2, sentPieces: 2, deadlineMs: 60_000}), () => undefined, 0);
		pool.submit(job('cancelled', {sentPieces: 1, deadlineMs: 60_000}), () => undefined, 0);
		pool.cancel('cancelled');
		expect(budget.canSpend(20_000)).toBe(true);
		expect(pool.nextCalls(20_000).map(({repeats}) => repeats)).toEqual([2]);
		expect([budget.canSpend(29_000, 2), budget.canSpend(29_000), budget.canSpend(32_000, 3)]).toEqual([false, true, true]);
	});

	it('fails a job when the retry budget is exhausted', () => {
		const {pool, submit, outcomes} = create([target('t1'), target('t2')], 0);
		submit(job('a'));
		const [first] = pool.nextCalls(0);
		pool.endCall(first!.id, {kind: 'unreachable'}, 2);
		expect(outcomes.get('a')).toMatchObject({failure: 'failed'});
	});

	it('reports that an input is gone or that a piece was too late', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a'));
		submit(job('b'));
		const [call] = pool.nextCalls(0);
		pool.endCall(call!.id, {kind: 'done', results: [{problem: 'gone'}, {problem: 'late'}]}, 200);
		expect(outcomes.get('a')).toMatchObject({failure: 'input_gone'});
		expect(outcomes.get('b')).toMatchObject({failure: 'late'});
	});

	it('reports results of a job that was cancelled during its call as unused', () => {
		const {pool, submit, outcomes, unused} = create();
		submit(job('a', {pieces: 2}));
		const [call] = pool.nextCalls(0);
		pool.cancel('a');
		expect(outcomes.get('a')).toMatchObject({failure: 'cancelled'});
		pool.endCall(call!.id, {kind: 'done', results: [{handle: 'x'}, {handle: 'y'}]}, 250);
		expect(unused).toEqual(['x', 'y']);
	});

	it('fails jobs that cannot be ready in time', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a'));
		pool.nextCalls(0);
		submit(job('b', {deadlineMs: 300}));
		pool.nextCalls(150);
		expect(outcomes.get('b')).toMatchObject({failure: 'late'});
	});

	it('waits for a fast target when a slow one would finish later', () => {
		const {pool, submit} = create([target('slow'), target('fast')]);
		for (const id of ['a', 'b']) {
			submit(job(id, {pieces: 7, deadlineMs: 60_000, startByMs: 50_000}));
		}

		for (const call of pool.nextCalls(0)) {
			pool.endCall(call.id, {kind: 'done', results: results(call)}, call.target.id === 'slow' ? 4000 : 368);
		}

		submit(job('c', {deadlineMs: 60_000, startByMs: 50_000}), 4000);
		submit(job('d', {deadlineMs: 60_000, startByMs: 50_000}), 4000);
		expect(pool.nextCalls(4000).map(call => call.target.id)).toEqual(['fast']);
	});

	// Guards against a healthy target that gets no more calls because the host froze during one and measured ten times its call time.
	it('tries a slow target again after a while', () => {
		const {pool, submit} = create([target('slow'), target('fast')]);
		const relaxed = {pieces: 7, deadlineMs: 60_000, startByMs: 50_000};
		submit(job('a', relaxed));
		submit(job('b', relaxed));
		for (const call of pool.nextCalls(0)) {
			pool.endCall(call.id, {kind: 'done', results: results(call)}, call.target.id === 'slow' ? 4000 : 368);
		}

		submit(job('c', relaxed), 14_000);
		submit(job('d', relaxed), 14_000);
		expect(pool.nextCalls(14_000)).toHaveLength(2);
	});

	it('uses a slow target when the others cannot finish the backlog sooner', () => {
		const {pool, submit} = create([target('slow'), target('fast')]);
		const relaxed = {pieces: 7, deadlineMs: 60_000, startByMs: 50_000};
		submit(job('a', relaxed));
		submit(job('b', relaxed));
		for (const call of pool.nextCalls(0)) {
			pool.endCall(call.id, {kind: 'done', results: results(call)}, call.target.id === 'slow' ? 4000 : 368);
		}

		for (let each = 0; each < 20; each++) {
			submit(job(`c${each}`, relaxed), 4000);
		}

		expect(pool.nextCalls(4000)).toHaveLength(2);
	});

	// Guards against small calls and late rejections during a burst above the capacity of the pool.
	it('serves a burst in full calls and rejects the excess early as overloaded', () => {
		const {pool, outcomes} = create([target('t1'), target('t2'), target('t3'), target('t4')]);
		let clockMs = 0;
		const random = Random.create(5);
		const running: Array<{call: StageCall; endsMs: number}> = [];
		const rejectedAfterMs: number[] = [];
		let pieces = 0;
		let calls = 0;
		for (let now = 0; now < 9000; now += 10) {
			if (now < 4000 && random.chance(0.5)) {
				pool.submit(job(`j${now}`, {pieces: 1 + random.integer(0, 2), startByMs: now + 700, deadlineMs: now + 4400}), outcome => {
					outcomes.set(`j${now}`, outcome);
					if ('failure' in outcome) {
						rejectedAfterMs.push(clockMs - now);
					}
				}, now);
			}

			clockMs = now;

			for (const {call} of running.filter(each => each.endsMs <= now)) {
				pool.endCall(call.id, {kind: 'done', results: results(call)}, now);
			}

			running.splice(0, running.length, ...running.filter(each => each.endsMs > now));
			for (const call of pool.nextCalls(now)) {
				calls++;
				pieces += call.pieces.length;
				running.push({call, endsMs: now + limits.callMs + (limits.pieceMs * call.pieces.length)});
			}
		}

		const failed = [...outcomes.values()].filter(outcome => 'failure' in outcome);
		expect(failed.every(outcome => outcome.failure === 'overloaded')).toBe(true);
		// Users require that jobs that cannot be served are rejected before three quarters of their time have passed.
		expect(rejectedAfterMs.every(ms => ms < 4400 * 0.75)).toBe(true);
		expect(failed.length).toBeLessThan(outcomes.size / 5);
		expect(pieces / calls).toBeGreaterThan(5);
	});

	// Guards against a stage target that had named a limit and got calls as fast as it answered them.
	it('keeps the limit of calls that a target names, uses other targets meanwhile, and ends it with the first response without it', () => {
		const {pool, submit} = create([target('t1'), target('t2')]);
		const perSecond = 0.5;
		const callsMs: number[] = [];
		let otherCalls = 0;
		let now = 0;
		const runRounds = (count: number, limitPerSecond: number | undefined) => {
			for (let round = 0; round < count; round++) {
				submit(job(`r${now}`, {startByMs: now + 1000, deadlineMs: now + 6000}), now);
				submit(job(`s${now}`, {startByMs: now + 1000, deadlineMs: now + 6000, pieces: 7}), now);
				const calls = pool.nextCalls(now);
				now += 100;
				for (const call of calls) {
					if (call.target.id === 't1') {
						callsMs.push(now);
					} else {
						otherCalls++;
					}

					const made = results(call);
					pool.endCall(call.id, {kind: 'done', results: made, ...(call.target.id === 't1' ? {limitPerSecond} : {})}, now);
					for (const {handle} of made as Array<{handle: string}>) {
						pool.removeResult(handle, now);
					}
				}
			}
		};

		runRounds(120, perSecond);
		const most = countPeak(callsMs, 4000);
		expect([most <= (1.5 * perSecond * 4) + 5, otherCalls > 40]).toEqual([true, true]);
		runRounds(60, undefined);
		expect(callsMs.filter(at => at > 15_000).length).toBeGreaterThan(20);
	});

	// Guards against calls without a timeout, which cannot be sent, where the declared times of calls and pieces are 0.
	it('sends further calls of a service that declares no times', () => {
		const {pool, submit} = create();
		pool.setLimits({...limits, callMs: 0, pieceMs: 0});
		const timeoutsMs: number[] = [];
		for (let now = 0; now < 3000; now += 1000) {
			submit(job(`r${now}`, {startByMs: now + 1000, deadlineMs: now + 6000}), now);
			const [call] = pool.nextCalls(now);
			timeoutsMs.push(call!.timeoutMs);
			pool.endCall(call!.id, {kind: 'done', results: results(call!)}, now + 50);
		}

		expect(timeoutsMs).toEqual([600, 600, 600]);
	});
});
