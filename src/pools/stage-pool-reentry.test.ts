import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ServiceRetryBudget} from './service-retry-budget.js';
import type {PieceResult, StageJob, StageJobOutcome} from './stage-job.js';
import {StagePool, type StageCall} from './stage-pool.js';

const limits = {
	slots: 1, queue: 2, batch: 4, callMs: 200, pieceMs: 24, resultMemoryMb: 15, resultTtlMs: 4000,
};

const job = (id: string, fields: Partial<StageJob> = {}): StageJob => ({
	id, attemptId: id, stage: 0, pieces: 1, key: 'k', inputs: [], resultBytes: 8000, transfers: [], priority: 0, startByMs: 1000, deadlineMs: 6000, isCommitted: false, ...fields,
});

function create(targets = ['t1']) {
	const outcomes = new Map<string, StageJobOutcome[]>();
	const unused: string[] = [];
	const pool = StagePool.create({
		limits,
		budget: ServiceRetryBudget.create({limits: {windowMs: 10_000, ratio: 0.2, slack: 100}, share: () => 1}),
		onUnused(handle) {
			unused.push(handle);
		},
	});
	const setTargets = (ids: readonly string[]) => {
		pool.setTargets(ids.map(id => ({id, address: `${id}:80`, zone: 'riga-a'})));
	};

	setTargets(targets);
	/** Submits a job; `react` runs when it ends, as a caller does that cancels the other stages of its plan. */
	const submit = (each: StageJob, now = 0, react: () => void = () => undefined) => {
		outcomes.set(each.id, outcomes.get(each.id) ?? []);
		pool.submit(each, outcome => {
			outcomes.get(each.id)!.push(outcome);
			react();
		}, now);
	};

	return {
		pool, outcomes, unused, submit, setTargets,
	};
}

const failureOf = (outcomes: Map<string, StageJobOutcome[]>, id: string) => outcomes.get(id)!.map(outcome => 'failure' in outcome ? outcome.failure : 'results');
const done = (call: StageCall, prefix = 'h'): PieceResult[] => call.pieces.map(({job: {id}, piece}) => ({handle: `${prefix}/${call.id}/${id}/${piece}`}));

describe('StagePool whose callers react to an end at once', () => {
	// Guards against an error in the middle of the rejections, after which no call is sent until the next event: the second
	// of two jobs that are rejected together was cancelled by the end of the first.
	it('rejects jobs of which one cancels the other', () => {
		const {pool, submit, outcomes} = create();
		const fields = {startByMs: -Infinity, deadlineMs: 500, pieces: 40};
		submit(job('first', fields), 0);
		submit(job('a', fields), 0, () => {
			pool.cancel('b');
		});
		submit(job('b', fields), 0, () => {
			pool.cancel('a');
		});
		expect(() => pool.nextCalls(0)).not.toThrow();
		expect(failureOf(outcomes, 'a')).toEqual(['overloaded']);
		expect(outcomes.get('b')).toHaveLength(1);
	});

	// Guards against a call whose other pieces are left without an end.
	it('ends all pieces of a call although the first of them starts further calls', () => {
		const {pool, submit, outcomes} = create(['t1', 't2']);
		const further: StageCall[] = [];
		submit(job('a', {pieces: 1}), 0, () => {
			submit(job('c'), 10);
			further.push(...pool.nextCalls(10));
		});
		submit(job('b', {pieces: 1}));
		const [call] = pool.nextCalls(0);
		pool.endCall(call!.id, {kind: 'done', results: done(call!)}, 10);
		expect(failureOf(outcomes, 'a')).toEqual(['results']);
		expect(failureOf(outcomes, 'b')).toEqual(['results']);
		expect(further.flatMap(({pieces}) => pieces.map(({job: {id}}) => id))).toEqual(['c']);
	});

	// Guards against a caller that breaks off the answers of others.
	it('tells all jobs of their end although the first of them throws', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a', {deadlineMs: 100}), 0, () => {
			throw new Error('thrown by the caller');
		});
		submit(job('b', {deadlineMs: 100}));
		expect(() => pool.nextCalls(0)).toThrow('thrown by the caller');
		expect(failureOf(outcomes, 'b')).toEqual(['late']);
	});
});

describe('StagePool with jobs of the same id', () => {
	// Guards against a job without an end, whose caller waits until its deadline.
	it('ends both jobs', () => {
		const {pool, submit, outcomes} = create();
		submit(job('a'));
		submit(job('a'));
		expect(outcomes.get('a')).toEqual([{failure: 'failed', retryAfterMs: 200}]);
		const [call] = pool.nextCalls(0);
		expect(call!.pieces).toHaveLength(1);
		pool.endCall(call!.id, {kind: 'done', results: done(call!)}, 10);
		expect(failureOf(outcomes, 'a')).toEqual(['failed', 'results']);
	});

	// Guards against results of a cancelled job that are given to the next one of its id.
	it('does not take the pieces of a cancelled job for those of the next one', () => {
		const {pool, submit, outcomes, unused} = create();
		submit(job('a'));
		const [call] = pool.nextCalls(0);
		pool.cancel('a');
		submit(job('a'), 5);
		pool.endCall(call!.id, {kind: 'done', results: done(call!, 'old')}, 10);
		expect(failureOf(outcomes, 'a')).toEqual(['cancelled']);
		expect(unused).toHaveLength(1);
		const [next] = pool.nextCalls(10);
		pool.endCall(next!.id, {kind: 'done', results: done(next!)}, 20);
		expect(failureOf(outcomes, 'a')).toEqual(['cancelled', 'results']);
	});
});

type Step =
	| {kind: 'submit'; id: number; pieces: number; deadlineMs: number; isLate: boolean; reaction: 'none' | 'cancel' | 'dispatch' | 'submit'; other: number}
	| {kind: 'cancel'; id: number}
	| {kind: 'end'; call: number; end: 'done' | 'refused' | 'failed' | 'unreachable' | 'room' | 'gone' | 'few'; limit: number | undefined}
	| {kind: 'targets'; ids: string[]}
	| {kind: 'limits'; batch: number; slots: number; memoryMb: number}
	| {kind: 'wait'; ms: number};

const id = fc.nat({max: 12});
const step: fc.Arbitrary<Step> = fc.oneof(
	{
		weight: 5, arbitrary: fc.record({
			kind: fc.constant('submit' as const), id, pieces: fc.integer({min: 1, max: 9}), deadlineMs: fc.integer({min: 0, max: 3000}), isLate: fc.boolean(), reaction: fc.constantFrom('none' as const, 'cancel' as const, 'dispatch' as const, 'submit' as const), other: id,
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('cancel' as const), id})},
	{
		weight: 4, arbitrary: fc.record({
			kind: fc.constant('end' as const), call: fc.nat({max: 5}), end: fc.constantFrom('done' as const, 'done' as const, 'refused' as const, 'failed' as const, 'unreachable' as const, 'room' as const, 'gone' as const, 'few' as const), limit: fc.constantFrom(undefined, undefined, 0, 2, Number.NaN),
		}),
	},
	{weight: 1, arbitrary: fc.record({kind: fc.constant('targets' as const), ids: fc.subarray(['t1', 't2', 't3'])})},
	{
		weight: 1, arbitrary: fc.record({
			kind: fc.constant('limits' as const), batch: fc.integer({min: 0, max: 6}), slots: fc.integer({min: 0, max: 2}), memoryMb: fc.constantFrom(0, 0.01, 15),
		}),
	},
	{weight: 3, arbitrary: fc.record({kind: fc.constant('wait' as const), ms: fc.integer({min: 0, max: 800})})},
);

/** Runs steps, then lets all calls end and the time pass; returns what each job was told, and the handles that were never told of. */
function play(steps: readonly Step[]): {ends: number[]; lost: string[]} {
	const {pool, unused, setTargets} = create(['t1', 't2']);
	const ends: number[] = [];
	const given = new Set<string>();
	const told = new Set<string>();
	const running = new Map<number, StageCall>();
	let now = 0;
	let depth = 0;
	const dispatch = () => {
		for (const call of pool.nextCalls(now)) {
			running.set(call.id, call);
		}
	};

	const submit = (each: Step & {kind: 'submit'}) => {
		const index = ends.push(0) - 1;
		pool.submit(job(String(each.id), {pieces: each.pieces, deadlineMs: now + each.deadlineMs, startByMs: each.isLate ? -Infinity : now + 500}), outcome => {
			ends[index]!++;
			for (const handle of 'results' in outcome ? outcome.results : []) {
				told.add(handle);
			}

			if (depth < 3) {
				depth++;
				react(each);

				depth--;
			}
		}, now);
	};

	const react = (each: Step & {kind: 'submit'}) => {
		switch (each.reaction) {
			case 'none': {
				break;
			}

			case 'cancel': {
				pool.cancel(String(each.other));
				break;
			}

			case 'dispatch': {
				dispatch();
				break;
			}

			case 'submit': {
				submit({...each, id: each.other, reaction: 'none'});
				break;
			}
		}
	};

	const end = (call: StageCall, kind: (Step & {kind: 'end'})['end'], limitPerSecond: number | undefined) => {
		running.delete(call.id);
		const results = done(call).map((result): PieceResult => kind === 'room' || kind === 'gone' ? {problem: kind} : result).slice(0, kind === 'few' ? 1 : undefined);
		for (const result of results) {
			if ('handle' in result && (kind === 'done' || kind === 'few')) {
				given.add(result.handle);
			}
		}

		pool.endCall(call.id, kind === 'refused' || kind === 'failed' ? {kind, limitPerSecond} : (kind === 'unreachable' ? {kind} : {kind: 'done', results, limitPerSecond}), now);
	};

	for (const each of steps) {
		switch (each.kind) {
			case 'submit': {
				submit(each);
				break;
			}

			case 'cancel': {
				pool.cancel(String(each.id));
				break;
			}

			case 'end': {
				const call = [...running.values()][each.call];
				if (call) {
					end(call, each.end, each.limit);
				}

				break;
			}

			case 'targets': {
				setTargets(each.ids);
				break;
			}

			case 'limits': {
				pool.setLimits({
					...limits, batch: each.batch, slots: each.slots, resultMemoryMb: each.memoryMb,
				});
				break;
			}

			case 'wait': {
				now += each.ms;
				break;
			}
		}

		dispatch();
	}

	for (let round = 0; round < 20 || running.size > 0; round++) {
		for (const call of running.values()) {
			end(call, 'failed', undefined);
		}

		now += 1000;
		dispatch();
	}

	return {ends, lost: [...given].filter(handle => !told.has(handle) && !unused.includes(handle))};
}

describe('StagePool in any order of events', () => {
	// Guards against jobs without an end or with two, and results that are held until they expire.
	it('tells each job of one end, and each result to a job or as unused', () => {
		fc.assert(fc.property(fc.array(step, {maxLength: 40}), steps => {
			const {ends, lost} = play(steps);
			expect(ends.every(count => count === 1)).toBe(true);
			expect(lost).toEqual([]);
		}), {numRuns: 1500, seed: 43});
	});
});
