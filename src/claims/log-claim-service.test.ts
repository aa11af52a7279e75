import {expect, test} from 'vitest';
import {GateLog, type GatePoint} from '../../test/support/gate-log.js';
import {ManualClock, type Clock} from '../clock/index.js';
import {EventRing} from '../events/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {MemoryPlatformLog} from '../platform-log/index.js';
import type {IdempotencyKey, ClaimDecision} from './claim-service.js';
import {LogClaimService} from './log-claim-service.js';

/** Several entry VMs that share one log, and the claim ids of the requests that they sent. */
class TestCluster {
	readonly clock = ManualClock.create();
	readonly log = MemoryPlatformLog.create({clock: this.clock});
	readonly sent: string[] = [];

	async startVm(incarnation: string, clock: Clock = this.clock): Promise<{claims: LogClaimService; gate: GateLog}> {
		const gate = GateLog.create(this.log);
		const claims = LogClaimService.create({
			clock, log: gate, events: EventRing.create({process: incarnation, clock: this.clock}), logger: silentLoggerFactory('claims'), incarnation, maxLifeMs: 900_000,
		});
		claims.start();
		await this.clock.advance(10);
		return {claims, gate};
	}

	key(options: Partial<IdempotencyKey> = {}): IdempotencyKey {
		return {
			team: 't', pipeline: 'p', key: 'k', notAfterMs: this.clock.wall() + 60_000, attempt: 1, bodyHash: 'b', ...options,
		};
	}

	/** Attempts a request: it is sent if its claim won, and settled if an answer is given. */
	async attempt(claims: LogClaimService, key: IdempotencyKey, options: {answer?: string; budgetMs?: number} = {}): Promise<ClaimDecision> {
		const decision = await claims.acquire(key, this.clock.now() + (options.budgetMs ?? 1000));
		if (decision.type === 'won') {
			this.sent.push(decision.claim.claimId);
			if (options.answer !== undefined) {
				claims.settle(decision.claim, {type: 'done', answer: options.answer});
			}
		}

		return decision;
	}

	/** Advances the clock until the promise is fulfilled, for at most `timeoutMs`. */
	async advanceUntilFulfilled<T>(promise: Promise<T>, timeoutMs = 5000): Promise<T> {
		const done = new AbortController();
		void promise.then(() => {
			done.abort();
		});
		for (let waited = 0; !done.signal.aborted && waited < timeoutMs; waited += 10) {
			await this.clock.advance(10);
		}

		expect(done.signal.aborted).toBe(true);
		return promise;
	}
}

// Guards against a retry at another entry VM that runs the request again or gets a different answer.
test.each([['answer', 'answer'], ['x'.repeat(16 * 1024), 'x'.repeat(16 * 1024)], ['ü'.repeat(9000), undefined]])('a retry at any entry VM gets the outcome', async (answer, storedAnswer) => {
	const cluster = new TestCluster();
	const [first, second] = [await cluster.startVm('a'), await cluster.startVm('b')];
	const key = cluster.key();
	const [decision, waiting] = [cluster.attempt(first.claims, key, {answer}), cluster.attempt(second.claims, key)];
	await expect(cluster.advanceUntilFulfilled(decision)).resolves.toMatchObject({type: 'won'});
	await expect(cluster.advanceUntilFulfilled(waiting)).resolves.toEqual({type: 'done', answer: storedAnswer});
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(first.claims, {...key, attempt: 2}))).resolves.toEqual({type: 'done', answer: storedAnswer});
	const fresh = await cluster.startVm('c');
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(fresh.claims, {...key, attempt: 3}))).resolves.toEqual({type: 'done', answer: storedAnswer});
	expect(cluster.sent).toHaveLength(1);
});

const points: GatePoint[] = ['before the append', 'after the append', 'after the read-back'];

// Guards against a second run when the entry VM that claimed the key crashes or is paused at any step.
test.each(points.flatMap(point => [[point, 'crash'], [point, 'pause'], [point, 'long pause']] as const))('a claimer that stops %s (%s) does not cause a second run', async (point, kind) => {
	const cluster = new TestCluster();
	const [first, second] = [await cluster.startVm('a'), await cluster.startVm('b')];
	const key = cluster.key();
	const stopped = first.gate.stopAt(point);
	const pendingAttempt = cluster.attempt(first.claims, key, {answer: 'a'});
	await cluster.advanceUntilFulfilled(stopped);
	const other = await cluster.advanceUntilFulfilled(cluster.attempt(second.claims, {...key, attempt: 2}, {answer: 'b', budgetMs: kind === 'pause' ? 100 : 3000}));
	const isFree = point === 'before the append';
	expect(other).toMatchObject(isFree ? {type: 'won'} : {type: 'unknown', reason: 'claimer_unknown'});
	if (kind === 'crash') {
		const retry = await cluster.advanceUntilFulfilled(cluster.attempt(second.claims, {...key, attempt: 3}));
		expect(retry).toMatchObject(isFree ? {type: 'done', answer: 'b'} : {type: 'unknown'});
	} else {
		await cluster.clock.advance(kind === 'pause' ? 0 : 3000);
		first.gate.open();
		const resumed = await cluster.advanceUntilFulfilled(pendingAttempt);
		if (kind === 'pause') {
			expect(resumed).toMatchObject(isFree ? {type: 'done', answer: 'b'} : {type: 'won'});
		} else {
			// Its deadline has passed: the claim is released, and the next attempt runs.
			expect(resumed).toMatchObject({type: 'not_run'});
			await cluster.clock.advance(500);
		}

		await expect(cluster.advanceUntilFulfilled(cluster.attempt(second.claims, {...key, attempt: 3}, {answer: 'c'}))).resolves.toMatchObject(kind === 'long pause' && !isFree ? {type: 'won'} : {type: 'done'});
	}

	expect(cluster.sent.length).toBe(kind === 'crash' && !isFree ? 0 : 1);
});

// Guards against a second run when the outcome of a sent request is never recorded, also after a restart of the entry VM.
test('a claim whose request was sent but not settled stays unknown', async () => {
	const cluster = new TestCluster();
	const [first, second] = [await cluster.startVm('a'), await cluster.startVm('b')];
	const key = cluster.key();
	await cluster.advanceUntilFulfilled(cluster.attempt(first.claims, key));
	const restarted = await cluster.startVm('a2');
	for (const vm of [first, second, restarted]) {
		await expect(cluster.advanceUntilFulfilled(cluster.attempt(vm.claims, {...key, attempt: 2}))).resolves.toMatchObject({type: 'unknown'});
	}

	expect(cluster.sent).toHaveLength(1);
});

// Guards against losing or repeating a claim whose append succeeded but was not answered.
test('a lost append answer does not lose the claim', async () => {
	const cluster = new TestCluster();
	const {claims} = await cluster.startVm('a');
	cluster.log.faults = {lostAppendAnswers: 1};
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(claims, cluster.key(), {answer: 'a'}))).resolves.toMatchObject({type: 'won'});
	expect(cluster.sent).toHaveLength(1);
});

// Guards against a claim that reaches the log after its request was answered, and then runs or blocks its key.
test('a late claim is released, and only then can its key run', async () => {
	const cluster = new TestCluster();
	const [first, second] = [await cluster.startVm('a'), await cluster.startVm('b')];
	const key = cluster.key();
	cluster.log.faults = {lateAppends: 1, lateAppendMs: 2000};
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(first.claims, key))).resolves.toEqual({type: 'not_run', reason: 'log_unavailable'});
	await cluster.clock.advance(1500);
	expect(cluster.sent).toHaveLength(0);
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(second.claims, {...key, attempt: 2}, {answer: 'b'}))).resolves.toMatchObject({type: 'won'});
	expect(cluster.sent).toHaveLength(1);
});

// Guards against running a claim that is logged after its key expired, when the key's earlier entry may be removed.
test('a claim that is logged after its not-after time loses', async () => {
	const cluster = new TestCluster();
	const {claims} = await cluster.startVm('a');
	cluster.log.faults = {lateAppends: 1, lateAppendMs: 500};
	const key = cluster.key({notAfterMs: cluster.clock.wall() + 400});
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(claims, key))).resolves.toEqual({type: 'not_run', reason: 'key_expired'});
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(claims, {...key, attempt: 2}))).resolves.toMatchObject({type: 'unknown'});
	expect(cluster.sent).toHaveLength(0);
});

// Guards against a false `not_run` during an outage of the log, and against losing an outcome recorded during it.
test('during an outage, first attempts are answered as not run and retries as unknown', async () => {
	const cluster = new TestCluster();
	const [first, second] = [await cluster.startVm('a'), await cluster.startVm('b')];
	const key = cluster.key();
	const won = await cluster.advanceUntilFulfilled(cluster.attempt(first.claims, key));
	cluster.log.faults = {outage: true};
	await cluster.clock.advance(2000);
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(second.claims, key))).resolves.toEqual({type: 'unknown', reason: 'earlier_attempt_unknown'});
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(second.claims, cluster.key({key: 'new'})))).resolves.toEqual({type: 'not_run', reason: 'log_unavailable'});
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(second.claims, cluster.key({key: 'new', attempt: 2})))).resolves.toEqual({type: 'unknown', reason: 'earlier_attempt_unknown'});
	first.claims.settle((won as Extract<ClaimDecision, {type: 'won'}>).claim, {type: 'done', answer: 'a'});
	await cluster.clock.advance(3000);
	cluster.log.faults = {};
	await cluster.clock.advance(1000);
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(second.claims, {...key, attempt: 2}))).resolves.toEqual({type: 'done', answer: 'a'});
	expect(cluster.sent).toHaveLength(1);
});

// Guards against a win over an earlier claim whose record expired unread while the process was paused.
test('a claim that was appended before a gap was read is not trusted', async () => {
	const cluster = new TestCluster();
	const [first, second] = [await cluster.startVm('a'), await cluster.startVm('b')];
	const key = cluster.key();
	const stopped = first.gate.stopAt('after the read-back');
	// The pause starts while another key's claim is read, before the claim under test.
	await cluster.advanceUntilFulfilled(cluster.attempt(second.claims, cluster.key({key: 'other'})));
	await stopped;
	await cluster.advanceUntilFulfilled(cluster.attempt(second.claims, key));
	const pendingAttempt = cluster.attempt(first.claims, key, {budgetMs: 4000});
	await cluster.clock.advance(20);
	cluster.log.expireBelow('claims', 2);
	first.gate.open();
	await expect(cluster.advanceUntilFulfilled(pendingAttempt)).resolves.toEqual({type: 'not_run', reason: 'log_unavailable'});
	expect(cluster.sent).toHaveLength(2);
});

// Guards against sending a request after its deadline when the process was paused and its timers fire late.
test('a claim that is read back after its deadline is released', async () => {
	const cluster = new TestCluster();
	let pauseMs = 0;
	const paused: Clock = {
		now: () => cluster.clock.now() + pauseMs,
		wall: () => cluster.clock.wall(),
		after: (delay, fn) => cluster.clock.after(delay, fn),
		sleep: async (delay, signal) => cluster.clock.sleep(delay, signal),
	};
	const [first, second] = [await cluster.startVm('a', paused), await cluster.startVm('b')];
	const key = cluster.key();
	const pendingAttempt = cluster.attempt(first.claims, key);
	pauseMs = 2000;
	await expect(cluster.advanceUntilFulfilled(pendingAttempt, 500)).resolves.toEqual({type: 'not_run', reason: 'deadline'});
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(second.claims, {...key, attempt: 2}))).resolves.toMatchObject({type: 'won'});
	expect(cluster.sent).toHaveLength(1);
});

// Guards against a used key with another body, and against keys that outlive the records of the log.
test('a key with another body or a far not-after time is not run', async () => {
	const cluster = new TestCluster();
	const {claims} = await cluster.startVm('a');
	await cluster.advanceUntilFulfilled(cluster.attempt(claims, cluster.key(), {answer: 'a'}));
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(claims, cluster.key({bodyHash: 'c', notAfterMs: 1_700_000_060_010})))).resolves.toEqual({type: 'not_run', reason: 'key_conflict'});
	const far = cluster.clock.wall() + 1_000_000;
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(claims, cluster.key({notAfterMs: far})))).resolves.toEqual({type: 'not_run', reason: 'key_too_long_lived'});
	// For a retry, the log's clock decides.
	await expect(cluster.advanceUntilFulfilled(cluster.attempt(claims, cluster.key({notAfterMs: far, attempt: 2})))).resolves.toEqual({type: 'not_run', reason: 'key_too_long_lived'});
	expect(cluster.sent).toHaveLength(1);
});

// Guards against one append per claim: the log handles several hundred appends per second for all entry VMs.
test('claims made together share an append', async () => {
	const cluster = new TestCluster();
	const {claims} = await cluster.startVm('a');
	const attempts = Array.from({length: 100}, async (_, index) => cluster.attempt(claims, cluster.key({key: `k${index}`})));
	await cluster.advanceUntilFulfilled(Promise.all(attempts));
	expect(cluster.sent).toHaveLength(100);
	expect(claims.stats).toMatchObject({appends: 1, won: 100, held: 100});
});
