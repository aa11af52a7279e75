import {describe, expect, it} from 'vitest';
import {Random} from '../random/index.js';
import {ServiceRetryBudget} from './service-retry-budget.js';
import type {PieceResult, StageJob, StageJobOutcome} from './stage-job.js';
import {StagePool, type StageCall} from './stage-pool.js';

const limits = {
	slots: 1, queue: 2, batch: 7, callMs: 200, itemMs: 24, roomMb: 15, resultTtlMs: 4000,
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
/** Runs rounds of one job whose results are freed 100 ms after their call; returns the time of the end. */
function freeAfter100Ms({pool, submit}: Pick<ReturnType<typeof create>, 'pool' | 'submit'>, {rounds, ...fields}: Partial<StageJob> & {rounds: number}): number {
	let now = 0;
	for (let round = 0; round < rounds; round++) {
		submit(job(`r${round}`, fields), now);
		const [call] = pool.next(now);
		now += 400;
		const made = results(call!);
		pool.ended(call!.id, {kind: 'done', results: made}, now);
		now += 100;
		for (const result of made) {
			pool.freed((result as {handle: string}).handle, now);
		}
	}

	return now;
}

const idsOf = (call: StageCall | undefined) => call?.pieces.map(piece => piece.job.id);

describe('StagePool', () => {
	it('gathers jobs into one call while a target is busy', () => {
		const {pool, submit} = create();
		submit(job('a'));
		const [first] = pool.next(0);
		expect(idsOf(first)).toEqual(['a']);
		for (const id of ['b', 'c', 'd']) {
			submit(job(id));
		}

		expect(pool.next(10)).toEqual([]);
		pool.ended(first!.id, {kind: 'done', results: results(first!)}, 224);
		expect(idsOf(pool.next(224)[0])).toEqual(['b', 'c', 'd']);
	});

	it('puts jobs that still meet their objective before late ones, and urgent ones first', () => {
		const {pool, submit} = create();
		submit(job('late', {startByMs: -1, pieces: 3}));
		submit(job('later', {startByMs: 900, pieces: 3}));
		submit(job('soon', {startByMs: 300, pieces: 3}));
		expect(idsOf(pool.next(0)[0])).toEqual(['soon', 'soon', 'soon', 'later', 'later', 'later']);
	});

	it('gives a lower rank a later turn', () => {
		const {pool, submit} = create();
		submit(job('low', {startByMs: 500, priority: 2, pieces: 4}));
		submit(job('high', {startByMs: 600, priority: 0, pieces: 4}));
		expect(idsOf(pool.next(0)[0])![0]).toBe('high');
	});

	it('does not split a job that fits a call', () => {
		const {pool, submit} = create();
		submit(job('a', {pieces: 4}));
		submit(job('b', {pieces: 4, startByMs: 1100}));
		submit(job('c', {pieces: 3, startByMs: 1200}));
		expect(idsOf(pool.next(0)[0])).toEqual(['a', 'a', 'a', 'a', 'c', 'c', 'c']);
	});

	it('splits a job that is larger than a call', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a', {pieces: 10}));
		const [first] = pool.next(0);
		expect(first!.pieces).toHaveLength(7);
		pool.ended(first!.id, {kind: 'done', results: results(first!)}, 400);
		const [second] = pool.next(400);
		expect(second!.pieces.map(piece => piece.piece)).toEqual([7, 8, 9]);
		pool.ended(second!.id, {kind: 'done', results: results(second!)}, 800);
		expect(outcomes.get('a')).toHaveProperty('results.length', 10);
	});

	it('never plans more results than a target has room for, held ones included', () => {
		const {pool, submit} = create();
		const large = {resultBytes: 2_000_000, pieces: 3};
		for (const id of ['a', 'b', 'c', 'd']) {
			submit(job(id, large));
		}

		const [first] = pool.next(0);
		expect(idsOf(first)).toEqual(['a', 'a', 'a', 'b', 'b', 'b']);
		const made = results(first!);
		pool.ended(first!.id, {kind: 'done', results: made}, 400);
		expect(pool.next(400)).toEqual([]);
		for (const result of made.slice(0, 3)) {
			pool.freed((result as {handle: string}).handle, 410);
		}

		expect(idsOf(pool.next(410)[0])).toEqual(['c', 'c', 'c']);
	});

	// Pattern: another host uses the same targets while entry VMs are cut off from each other.
	it('plans with less room after a call that found none, and with more again later', () => {
		const {pool, submit} = create();
		const large = {
			resultBytes: 1_500_000, pieces: 7, deadlineMs: 60_000, startByMs: 50_000,
		};
		submit(job('a', large));
		const [first] = pool.next(0);
		pool.ended(first!.id, {kind: 'done', results: first!.pieces.map((_, index): PieceResult => index < 3 ? {handle: `a${index}`} : {problem: 'room'})}, 300);
		pool.cancel('a');
		for (const handle of ['a0', 'a1', 'a2']) {
			pool.freed(handle, 300);
		}

		submit(job('b', {...large, pieces: 7}));
		submit(job('held', {pieces: 1}), 300);
		const [second] = pool.next(300);
		expect(idsOf(second)).toEqual(['held']);
		pool.ended(second!.id, {kind: 'done', results: results(second!)}, 500);
		expect(pool.next(500)).toEqual([]);
		expect(idsOf(pool.next(3000)[0])).toEqual(['b', 'b', 'b', 'b', 'b', 'b', 'b']);
	});

	// Pattern: one entry VM cut off from the others hosts the pools for itself.
	it('makes few and full calls while it has a small share of the work', () => {
		const {pool, submit} = create([target('t1'), target('t2'), target('t3'), target('t4')]);
		submit(job('a', {pieces: 5}));
		submit(job('b', {pieces: 5}));
		expect(pool.next(0, 1 / 9)).toHaveLength(1);
		expect(pool.next(1, 1 / 9)).toHaveLength(0);
		expect(pool.next(2)).toHaveLength(1);
	});

	// Pattern: the backlog after an outage, when everything that waits is late.
	it('keeps targets and room for jobs that can still be on time', () => {
		const {pool, submit} = create([target('t1'), target('t2'), target('t3'), target('t4')]);
		for (let each = 0; each < 12; each++) {
			submit(job(`late${each}`, {pieces: 3, startByMs: -1}));
		}

		expect(pool.next(0)).toHaveLength(2);
		submit(job('fresh', {startByMs: 500}), 10);
		expect(pool.next(10).map(call => idsOf(call)![0])).toEqual(['fresh']);
	});

	it('finishes late jobs that are committed before it starts others', () => {
		const {pool, submit} = create();
		submit(job('fresh', {pieces: 4, startByMs: 200}));
		submit(job('late', {pieces: 4, startByMs: -1}));
		submit(job('committed', {pieces: 4, startByMs: -1, isCommitted: true}));
		expect(idsOf(pool.next(0)[0])![0]).toBe('committed');
	});

	it('counts a result as gone once it has lapsed', () => {
		const {pool, submit} = create();
		submit(job('a', {resultBytes: 1_500_000, pieces: 7}));
		const [first] = pool.next(0);
		pool.ended(first!.id, {kind: 'done', results: results(first!)}, 400);
		submit(job('b', {resultBytes: 1_500_000, pieces: 7, deadlineMs: 9000}), 400);
		expect(pool.next(4300)).toEqual([]);
		expect(pool.next(4401)).toHaveLength(1);
	});

	it('leaves a job with many bytes to the zone where they are while a target there is about to be free', () => {
		const {pool, submit} = create([target('near', 'riga-a'), target('far', 'liepaja-a')]);
		submit(job('first', {pieces: 7, transfers: [{zone: 'riga-a', bytes: 4e6}]}));
		const calls = pool.next(0);
		expect(calls.map(call => call.target.id)).toEqual(['near']);
		const nearEndsMs = calls[0]!.expectedMs;
		submit(job('second', {pieces: 3, startByMs: 2000, transfers: [{zone: 'riga-a', bytes: 4e6}]}), nearEndsMs - 50);
		expect(pool.next(nearEndsMs - 50)).toEqual([]);
		pool.ended(calls[0]!.id, {kind: 'done', results: results(calls[0]!)}, nearEndsMs);
		expect(pool.next(nearEndsMs).map(call => call.target.id)).toEqual(['near']);
	});

	it('sends a job with many bytes to another zone when it runs out of slack', () => {
		const {pool, submit} = create([target('near', 'riga-a'), target('far', 'liepaja-a')]);
		submit(job('first', {pieces: 7, transfers: [{zone: 'riga-a', bytes: 4e6}]}));
		const nearEndsMs = pool.next(0)[0]!.expectedMs;
		submit(job('second', {pieces: 3, startByMs: nearEndsMs + 100, transfers: [{zone: 'riga-a', bytes: 4e6}]}), nearEndsMs - 50);
		expect(pool.next(nearEndsMs - 50).map(call => call.target.id)).toEqual(['far']);
	});

	// Pattern: the results of most jobs are in one zone, whose targets have more than they can take.
	it('sends jobs with many bytes to other zones when the targets near their results are busy for long', () => {
		const {pool, submit} = create([target('near', 'riga-a'), target('far', 'liepaja-a')]);
		submit(job('first', {pieces: 7, transfers: [{zone: 'riga-a', bytes: 4e6}]}));
		pool.next(0);
		submit(job('second', {pieces: 3, startByMs: 2000, transfers: [{zone: 'riga-a', bytes: 4e6}]}), 10);
		expect(pool.next(10).map(call => call.target.id)).toEqual(['far']);
	});

	it('sends jobs with many bytes to other zones when they are more than the next call near them takes', () => {
		const {pool, submit} = create([target('near', 'riga-a'), target('far', 'liepaja-a')]);
		for (const id of ['a', 'b', 'c']) {
			submit(job(id, {pieces: 3, startByMs: 2000, transfers: [{zone: 'riga-a', bytes: 4e6}]}));
		}

		expect(pool.next(0).map(call => [call.target.id, ...new Set(idsOf(call))])).toEqual([['near', 'a', 'b'], ['far', 'c']]);
	});

	// Pattern: results are taken soon after they are made, so that most of what a target holds is gone at the end of its next call.
	it('plans with the room of results that are usually freed during the call', () => {
		const {pool, submit} = create();
		const small = {
			resultBytes: 2_000_000, pieces: 3, startByMs: 90_000, deadlineMs: 99_000,
		};
		let now = freeAfter100Ms({pool, submit}, {...small, rounds: 10});

		submit(job('a', {...small, pieces: 6}), now);
		const [first] = pool.next(now);
		now += 400;
		pool.ended(first!.id, {kind: 'done', results: results(first!)}, now);
		submit(job('b', {...small, pieces: 6}), now);
		expect(idsOf(pool.next(now + 10)[0])).toHaveLength(6);
	});

	it('does not plan with the room of results that are held longer than usual', () => {
		const {pool, submit} = create();
		const small = {
			resultBytes: 2_000_000, pieces: 6, startByMs: 90_000, deadlineMs: 99_000,
		};
		let now = freeAfter100Ms({pool, submit}, {...small, rounds: 5});

		submit(job('a', small), now);
		const [first] = pool.next(now);
		now += 400;
		pool.ended(first!.id, {kind: 'done', results: results(first!)}, now);
		submit(job('b', small), now);
		expect(pool.next(now + 150)).toEqual([]);
	});

	it('asks again for pieces that a target refused, and pauses the target', () => {
		const {pool, submit, outcomes} = create([target('t1'), target('t2')]);
		submit(job('a'));
		const [first] = pool.next(0);
		pool.ended(first!.id, {kind: 'refused'}, 2);
		const [second] = pool.next(2);
		expect(second!.target.id).not.toBe(first!.target.id);
		pool.ended(second!.id, {kind: 'done', results: results(second!)}, 230);
		expect(outcomes.get('a')).toHaveProperty('results.length', 1);
	});

	it('fails a job when the budget of repeats is spent', () => {
		const {pool, submit, outcomes} = create([target('t1'), target('t2')], 0);
		submit(job('a'));
		const [first] = pool.next(0);
		pool.ended(first!.id, {kind: 'unreachable'}, 2);
		expect(outcomes.get('a')).toMatchObject({failure: 'failed'});
	});

	it('tells that an input is gone or a piece was too late', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a'));
		submit(job('b'));
		const [call] = pool.next(0);
		pool.ended(call!.id, {kind: 'done', results: [{problem: 'gone'}, {problem: 'late'}]}, 200);
		expect(outcomes.get('a')).toMatchObject({failure: 'input_gone'});
		expect(outcomes.get('b')).toMatchObject({failure: 'late'});
	});

	it('gives up results of a job that was cancelled during its call', () => {
		const {pool, submit, outcomes, unused} = create();
		submit(job('a', {pieces: 2}));
		const [call] = pool.next(0);
		pool.cancel('a');
		expect(outcomes.get('a')).toMatchObject({failure: 'cancelled'});
		pool.ended(call!.id, {kind: 'done', results: [{handle: 'x'}, {handle: 'y'}]}, 250);
		expect(unused).toEqual(['x', 'y']);
	});

	it('drops jobs that cannot be ready in time', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a'));
		pool.next(0);
		submit(job('b', {deadlineMs: 300}));
		pool.next(150);
		expect(outcomes.get('b')).toMatchObject({failure: 'late'});
	});

	it('prefers to wait for a fast target when a slow one would finish later', () => {
		const {pool, submit} = create([target('slow'), target('fast')]);
		for (const id of ['a', 'b']) {
			submit(job(id, {pieces: 7, deadlineMs: 60_000, startByMs: 50_000}));
		}

		for (const call of pool.next(0)) {
			pool.ended(call.id, {kind: 'done', results: results(call)}, call.target.id === 'slow' ? 4000 : 368);
		}

		submit(job('c', {deadlineMs: 60_000, startByMs: 50_000}), 4000);
		submit(job('d', {deadlineMs: 60_000, startByMs: 50_000}), 4000);
		expect(pool.next(4000).map(call => call.target.id)).toEqual(['fast']);
	});

	// Pattern: the host was frozen during a call, so that a healthy target looks ten times slower than it is.
	it('tries a target that seemed slow again after a while', () => {
		const {pool, submit} = create([target('slow'), target('fast')]);
		const relaxed = {pieces: 7, deadlineMs: 60_000, startByMs: 50_000};
		submit(job('a', relaxed));
		submit(job('b', relaxed));
		for (const call of pool.next(0)) {
			pool.ended(call.id, {kind: 'done', results: results(call)}, call.target.id === 'slow' ? 4000 : 368);
		}

		submit(job('c', relaxed), 14_000);
		submit(job('d', relaxed), 14_000);
		expect(pool.next(14_000)).toHaveLength(2);
	});

	it('uses a slow target when more waits than the others can finish sooner', () => {
		const {pool, submit} = create([target('slow'), target('fast')]);
		const relaxed = {pieces: 7, deadlineMs: 60_000, startByMs: 50_000};
		submit(job('a', relaxed));
		submit(job('b', relaxed));
		for (const call of pool.next(0)) {
			pool.ended(call.id, {kind: 'done', results: results(call)}, call.target.id === 'slow' ? 4000 : 368);
		}

		for (let each = 0; each < 20; each++) {
			submit(job(`c${each}`, relaxed), 4000);
		}

		expect(pool.next(4000)).toHaveLength(2);
	});

	// Pattern: a burst of one kind above the capacity of the pool.
	it('serves a burst in full calls and keeps on-time jobs on time', () => {
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
				pool.ended(call.id, {kind: 'done', results: results(call)}, now);
			}

			running.splice(0, running.length, ...running.filter(each => each.endsMs > now));
			for (const call of pool.next(now)) {
				calls++;
				pieces += call.pieces.length;
				running.push({call, endsMs: now + limits.callMs + (limits.itemMs * call.pieces.length)});
			}
		}

		const failed = [...outcomes.values()].filter(outcome => 'failure' in outcome);
		expect(failed.every(outcome => outcome.failure === 'overloaded')).toBe(true);
		// What cannot be served is rejected before three quarters of its time have passed, the users' bound.
		expect(rejectedAfterMs.every(ms => ms < 4400 * 0.75)).toBe(true);
		expect(failed.length).toBeLessThan(outcomes.size / 5);
		expect(pieces / calls).toBeGreaterThan(5);
	});
});
