import {describe, expect, it} from 'vitest';
import type {JobUrgency} from './job-order.js';
import type {StageJob, StageJobOutcome} from './stage-job.js';
import type {KindPieces} from './piece-times.js';
import {StagePlanRun, type PlanHost} from './stage-plan-run.js';
import type {StagePlan} from './stage-plan.js';

const limits = {
	slots: 1, queue: 2, batch: 7, callMs: 200, pieceMs: 10, resultMemoryMb: 15, resultTtlMs: 4000,
};

class FakeHost implements PlanHost {
	readonly jobs: Array<{service: string; job: StageJob}> = [];
	readonly logged: Array<Record<string, unknown>> = [];
	readonly logger = {
		debug: (message: string, fields = {}) => {
			this.logged.push({message, ...fields});
		},
	};

	readonly freed: string[] = [];
	readonly announced = new Map<string, number>();
	readonly answers = new Map<string, (job: StageJob) => StageJobOutcome>();
	waitMs = 0;
	isIdle = true;
	hasBudget = true;
	readonly released: string[] = [];

	now() {
		return 0;
	}

	async sleep() {
		// No time passes here, so that a deferred stage is reconsidered at once.
	}

	expectedCallMs(_service: string, pieces: number) {
		return limits.callMs + (limits.pieceMs * pieces);
	}

	announce(service: string, id: string, _job: JobUrgency, {pieces}: KindPieces) {
		this.announced.set(`${service} ${id}`, pieces);
	}

	isUnstarted() {
		return this.isIdle;
	}

	reserveRetries() {
		return this.hasBudget;
	}

	releaseRetries(service: string, pieces: number) {
		this.released.push(`${service} ${pieces}`);
	}

	withdraw(service: string, id: string) {
		this.announced.delete(`${service} ${id}`);
	}

	expectedWaitMs() {
		return this.waitMs;
	}

	async runJob(service: string, job: StageJob): Promise<StageJobOutcome> {
		this.jobs.push({service, job});
		return this.answers.get(service)?.(job) ?? {results: Array.from({length: job.pieces}, (_, piece) => `${service}/${piece}`)};
	}

	zoneOf(handle: string) {
		return handle.startsWith('press') ? 'liepaja-a' : 'riga-a';
	}

	free(handles: readonly string[]) {
		this.freed.push(...handles);
	}
}

const chain: StagePlan = {
	attemptId: 'r1',
	stages: [
		{
			service: 'archive', after: [], resultBytes: 8000, pieces: 1,
		},
		{
			service: 'press', after: [0], resultBytes: 60_000, pieces: 2,
		},
		{
			service: 'assay', after: [1], resultBytes: 6000, pieces: 3,
		},
	],
	pieceKey: 'k1',
	zone: 'riga-a',
	priority: 1,
	callByMs: 2400,
	deadlineMs: 5900,
};

const run = async (host: FakeHost, plan: StagePlan = chain) => StagePlanRun.create(host, plan, 'p1').run(new AbortController().signal);

describe('StagePlanRun', () => {
	it('passes all results of the preceding stages to each stage and frees them once used', async () => {
		const host = new FakeHost();
		const outcome = await run(host);
		expect(host.jobs.map(({service, job}) => [service, job.key, job.inputs])).toEqual([
			['archive', 'k1', []],
			['press', undefined, ['archive/0']],
			['assay', undefined, ['press/0', 'press/1']],
		]);
		expect(host.freed).toEqual(['archive/0', 'press/0', 'press/1']);
		expect(outcome).toMatchObject({results: [{handle: 'assay/0'}, {handle: 'assay/1'}, {handle: 'assay/2'}]});
	});

	it('reports transfers per zone: three pieces that take two results of 60 kB transfer 360 kB', async () => {
		const host = new FakeHost();
		await run(host);
		expect(host.jobs[2]!.job.transfers).toEqual([{zone: 'liepaja-a', bytes: 360_000}, {zone: 'riga-a', bytes: 18_000}]);
	});

	it('skips stages without pieces', async () => {
		const host = new FakeHost();
		const plan = {
			...chain, stages: [{...chain.stages[0]!, pieces: 0}, {
				service: 'archive', after: [], resultBytes: 8000, pieces: 2,
			}],
		};
		const outcome = await run(host, plan);
		expect(host.jobs).toHaveLength(1);
		expect(outcome).toHaveProperty('results.length', 2);
	});

	// Guards against a stage that starts late for a reason which no log line tells.
	it('logs why a stage is deferred, and nothing for one that is not', async () => {
		const host = new FakeHost();
		await run(host);
		expect(host.logged).toEqual([]);
		await run(host, {
			...chain, stages: [...chain.stages, {
				service: 'scan', after: [], resultBytes: 1_500_000, pieces: 1,
			}],
		});
		expect(host.logged[0]).toEqual({
			message: 'Deferred a stage: the rest of its plan takes longer.', id: 'r1', stage: 3, service: 'scan', path_ms: 255, wait_ms: 0, delay_ms: 390, age_ms: 0,
		});
	});

	it('frees all results when a stage fails', async () => {
		const host = new FakeHost();
		host.answers.set('assay', () => ({failure: 'input_gone', retryAfterMs: 200}));
		expect(await run(host)).toMatchObject({failure: 'input_gone'});
		expect(host.freed.toSorted()).toEqual(['archive/0', 'press/0', 'press/1']);
	});

	it('derives the latest start of each stage from the remaining path: later stages may start later', async () => {
		const host = new FakeHost();
		await run(host);
		const starts = host.jobs.map(({job}) => job.startByMs);
		expect(starts).toEqual(starts.toSorted((a, b) => a - b));
		expect(starts[2]).toBe(2400 - (200 + 30 + 45));
	});

	it('runs a plan that cannot meet its objective behind the others', async () => {
		const host = new FakeHost();
		host.waitMs = 1800;
		await run(host);
		expect(host.jobs.every(({job}) => job.startByMs === -Infinity)).toBe(true);
	});

	it('assumes that the backlog of a later stage is processed while the preceding stages run', async () => {
		const host = new FakeHost();
		host.waitMs = 500;
		await run(host);
		expect(host.jobs[0]!.job.startByMs).toBeGreaterThan(0);
	});

	it('announces the jobs of later stages until the plan has ended', async () => {
		const host = new FakeHost();
		const counts: number[] = [];
		host.answers.set('archive', () => {
			counts.push(...host.announced.values());
			return {failure: 'failed', retryAfterMs: 0};
		});
		await run(host);
		expect(counts).toEqual([2, 3]);
		expect(host.announced.size).toBe(0);
	});

	it('does not start a plan whose pieces the retry budget does not suffice to send again', async () => {
		const host = new FakeHost();
		host.hasBudget = false;
		expect(await run(host, {...chain, sentPieces: [1, 0, 0]})).toMatchObject({failure: 'no_budget', sentPieces: [1, 0, 0]});
		expect(host.jobs).toEqual([]);
	});

	// Guards against retries that stay reserved for stages which are never sent, so that others are refused for good.
	it('releases the retries of stages that it does not submit', async () => {
		const host = new FakeHost();
		host.answers.set('archive', () => ({failure: 'failed', retryAfterMs: 0}));
		await run(host, {...chain, sentPieces: [1, 1, 2]});
		expect(host.jobs.map(({job}) => job.sentPieces)).toEqual([1]);
		expect(host.released).toEqual(chain.stages.slice(1).map(({service}, index) => `${service} ${index + 1}`));
	});

	it('reports how many pieces it and earlier runs may have sent when it fails', async () => {
		const host = new FakeHost();
		host.answers.set('press', () => ({failure: 'failed', retryAfterMs: 0, sentPieces: 1}));
		expect(await run(host)).toMatchObject({sentPieces: [1, 1, 0]});
		expect(await run(host, {...chain, sentPieces: [1, 0, 2]})).toMatchObject({sentPieces: [1, 1, 2]});
		host.answers.set('press', () => ({failure: 'failed', retryAfterMs: 0}));
		expect(await run(host)).toMatchObject({sentPieces: [1, 0, 0]});
	});

	it('rejects a plan that cannot meet its deadline at once, with the delay after which a retry may succeed', async () => {
		const host = new FakeHost();
		host.waitMs = 6000;
		const outcome = await run(host);
		expect(host.jobs).toEqual([]);
		expect(outcome).toMatchObject({failure: 'overloaded'});
		expect((outcome as {retryAfterMs: number}).retryAfterMs).toBeGreaterThan(6000 + 600 - chain.deadlineMs);
	});
});
