import {expect, test} from 'vitest';
import {GateLog, type GatePoint} from '../../test/support/gate-log.js';
import {ManualClock, type Clock} from '../clock/index.js';
import {EventRing} from '../events/index.js';
import {silentLoggerFactory} from '../logs/index.js';
import {MemoryPlatformLog} from '../log/index.js';
import type {BookingKey, ClaimDecision} from './claim-service.js';
import {LogClaimService} from './log-claim-service.js';

/** One log, several entry VMs, and the calls that they sent. */
class World {
	readonly clock = ManualClock.create();
	readonly log = MemoryPlatformLog.create({clock: this.clock});
	readonly sent: string[] = [];

	async vm(incarnation: string, clock: Clock = this.clock): Promise<{claims: LogClaimService; gate: GateLog}> {
		const gate = GateLog.create(this.log);
		const claims = LogClaimService.create({
			clock, log: gate, events: EventRing.create({process: incarnation, clock: this.clock}), logger: silentLoggerFactory('claims'), incarnation, maxLifeMs: 900_000,
		});
		claims.start();
		await this.clock.advance(10);
		return {claims, gate};
	}

	key(options: Partial<BookingKey> = {}): BookingKey {
		return {
			team: 't', pipeline: 'p', key: 'k', notAfterMs: this.clock.wall() + 60_000, attempt: 1, bodyHash: 'b', ...options,
		};
	}

	/** Tries a booking as a request does: the call is sent when its claim won. */
	async book(claims: LogClaimService, key: BookingKey, options: {answer?: string; budgetMs?: number} = {}): Promise<ClaimDecision> {
		const decision = await claims.acquire(key, this.clock.now() + (options.budgetMs ?? 1000));
		if (decision.type === 'won') {
			this.sent.push(decision.claim.claimId);
			if (options.answer !== undefined) {
				claims.settle(decision.claim, {type: 'done', answer: options.answer});
			}
		}

		return decision;
	}

	/** Lets time pass until a decision is made. */
	async decide<T>(decision: Promise<T>, boundMs = 5000): Promise<T> {
		const made = new AbortController();
		void decision.then(() => {
			made.abort();
		});
		for (let waited = 0; !made.signal.aborted && waited < boundMs; waited += 10) {
			await this.clock.advance(10);
		}

		expect(made.signal.aborted).toBe(true);
		return decision;
	}
}

// Guards against a retry at another entry VM that runs again or gets another answer.
test.each([['answer', 'answer'], ['x'.repeat(16 * 1024), 'x'.repeat(16 * 1024)], ['ü'.repeat(9000), undefined]])('a retry anywhere gets the outcome', async (answer, held) => {
	const world = new World();
	const [first, second] = [await world.vm('a'), await world.vm('b')];
	const key = world.key();
	const [decision, waiting] = [world.book(first.claims, key, {answer}), world.book(second.claims, key)];
	await expect(world.decide(decision)).resolves.toMatchObject({type: 'won'});
	await expect(world.decide(waiting)).resolves.toEqual({type: 'done', answer: held});
	await expect(world.decide(world.book(first.claims, {...key, attempt: 2}))).resolves.toEqual({type: 'done', answer: held});
	const fresh = await world.vm('c');
	await expect(world.decide(world.book(fresh.claims, {...key, attempt: 3}))).resolves.toEqual({type: 'done', answer: held});
	expect(world.sent).toHaveLength(1);
});

const points: GatePoint[] = ['before the append', 'after the append', 'after the read-back'];

// Guards against a second run when the claimer stops at any step, for good or for a while.
test.each(points.flatMap(point => [[point, 'crash'], [point, 'pause'], [point, 'long pause']] as const))('a claimer that stops %s (%s) does not cause a second run', async (point, kind) => {
	const world = new World();
	const [first, second] = [await world.vm('a'), await world.vm('b')];
	const key = world.key();
	const stopped = first.gate.stopAt(point);
	const held = world.book(first.claims, key, {answer: 'a'});
	await world.decide(stopped);
	const other = await world.decide(world.book(second.claims, {...key, attempt: 2}, {answer: 'b', budgetMs: kind === 'pause' ? 100 : 3000}));
	const isFree = point === 'before the append';
	expect(other).toMatchObject(isFree ? {type: 'won'} : {type: 'unknown', reason: 'claimer_unknown'});
	if (kind === 'crash') {
		const retry = await world.decide(world.book(second.claims, {...key, attempt: 3}));
		expect(retry).toMatchObject(isFree ? {type: 'done', answer: 'b'} : {type: 'unknown'});
	} else {
		await world.clock.advance(kind === 'pause' ? 0 : 3000);
		first.gate.open();
		const resumed = await world.decide(held);
		if (kind === 'pause') {
			expect(resumed).toMatchObject(isFree ? {type: 'done', answer: 'b'} : {type: 'won'});
		} else {
			// Its deadline passed: the claim is released, and the next try runs.
			expect(resumed).toMatchObject({type: 'not_run'});
			await world.clock.advance(500);
		}

		await expect(world.decide(world.book(second.claims, {...key, attempt: 3}, {answer: 'c'}))).resolves.toMatchObject(kind === 'long pause' && !isFree ? {type: 'won'} : {type: 'done'});
	}

	expect(world.sent.length).toBe(kind === 'crash' && !isFree ? 0 : 1);
});

// Guards against a second run after the claimer died between sending and the outcome, and after a restart.
test('a claim that was sent and not settled stays unknown', async () => {
	const world = new World();
	const [first, second] = [await world.vm('a'), await world.vm('b')];
	const key = world.key();
	await world.decide(world.book(first.claims, key));
	const restarted = await world.vm('a2');
	for (const vm of [first, second, restarted]) {
		await expect(world.decide(world.book(vm.claims, {...key, attempt: 2}))).resolves.toMatchObject({type: 'unknown'});
	}

	expect(world.sent).toHaveLength(1);
});

// Guards against a claim that is lost with the answer to its append, or taken twice.
test('a lost append answer does not lose the claim', async () => {
	const world = new World();
	const {claims} = await world.vm('a');
	world.log.faults = {lostAppendAnswers: 1};
	await expect(world.decide(world.book(claims, world.key(), {answer: 'a'}))).resolves.toMatchObject({type: 'won'});
	expect(world.sent).toHaveLength(1);
});

// Guards against a claim that runs, or blocks its key, when it turns up after its request was answered.
test('a late claim is released, and only then can its key run', async () => {
	const world = new World();
	const [first, second] = [await world.vm('a'), await world.vm('b')];
	const key = world.key();
	world.log.faults = {lateAppends: 1, lateAppendMs: 2000};
	await expect(world.decide(world.book(first.claims, key))).resolves.toEqual({type: 'not_run', reason: 'log_unavailable'});
	await world.clock.advance(1500);
	expect(world.sent).toHaveLength(0);
	await expect(world.decide(world.book(second.claims, {...key, attempt: 2}, {answer: 'b'}))).resolves.toMatchObject({type: 'won'});
	expect(world.sent).toHaveLength(1);
});

// Guards against a claim that is logged after its key's end and runs although its entry may be dropped.
test('a claim that is logged after its not-after time loses', async () => {
	const world = new World();
	const {claims} = await world.vm('a');
	world.log.faults = {lateAppends: 1, lateAppendMs: 500};
	const key = world.key({notAfterMs: world.clock.wall() + 400});
	await expect(world.decide(world.book(claims, key))).resolves.toEqual({type: 'not_run', reason: 'key_expired'});
	await expect(world.decide(world.book(claims, {...key, attempt: 2}))).resolves.toMatchObject({type: 'unknown'});
	expect(world.sent).toHaveLength(0);
});

// Guards against a false `not_run` during an outage, and against an outcome that is lost with it.
test('an outage rejects first tries as not run and leaves retries unknown', async () => {
	const world = new World();
	const [first, second] = [await world.vm('a'), await world.vm('b')];
	const key = world.key();
	const won = await world.decide(world.book(first.claims, key));
	world.log.faults = {outage: true};
	await world.clock.advance(2000);
	await expect(world.decide(world.book(second.claims, key))).resolves.toEqual({type: 'unknown', reason: 'earlier_attempt_unknown'});
	await expect(world.decide(world.book(second.claims, world.key({key: 'new'})))).resolves.toEqual({type: 'not_run', reason: 'log_unavailable'});
	await expect(world.decide(world.book(second.claims, world.key({key: 'new', attempt: 2})))).resolves.toEqual({type: 'unknown', reason: 'earlier_attempt_unknown'});
	first.claims.settle((won as Extract<ClaimDecision, {type: 'won'}>).claim, {type: 'done', answer: 'a'});
	await world.clock.advance(3000);
	world.log.faults = {};
	await world.clock.advance(1000);
	await expect(world.decide(world.book(second.claims, {...key, attempt: 2}))).resolves.toEqual({type: 'done', answer: 'a'});
	expect(world.sent).toHaveLength(1);
});

// Guards against a win over an earlier claim that expired unread while this process was paused.
test('a claim before a gap is not trusted', async () => {
	const world = new World();
	const [first, second] = [await world.vm('a'), await world.vm('b')];
	const key = world.key();
	const stopped = first.gate.stopAt('after the read-back');
	// The pause starts on a read of another key's claim, before the claim in question.
	await world.decide(world.book(second.claims, world.key({key: 'other'})));
	await stopped;
	await world.decide(world.book(second.claims, key));
	const held = world.book(first.claims, key, {budgetMs: 4000});
	await world.clock.advance(20);
	world.log.expireBelow('claims', 2);
	first.gate.open();
	await expect(world.decide(held)).resolves.toEqual({type: 'not_run', reason: 'log_unavailable'});
	expect(world.sent).toHaveLength(2);
});

// Guards against a call that is sent after its deadline when the process was paused and its timers run late.
test('a claim that is read back after its deadline is released', async () => {
	const world = new World();
	let pauseMs = 0;
	const paused: Clock = {
		now: () => world.clock.now() + pauseMs,
		wall: () => world.clock.wall(),
		after: (delay, fn) => world.clock.after(delay, fn),
		sleep: async (delay, signal) => world.clock.sleep(delay, signal),
	};
	const [first, second] = [await world.vm('a', paused), await world.vm('b')];
	const key = world.key();
	const held = world.book(first.claims, key);
	pauseMs = 2000;
	await expect(world.decide(held, 500)).resolves.toEqual({type: 'not_run', reason: 'deadline'});
	await expect(world.decide(world.book(second.claims, {...key, attempt: 2}))).resolves.toMatchObject({type: 'won'});
	expect(world.sent).toHaveLength(1);
});

// Guards against another body under a used key, and against keys that outlive the log.
test('a key with another body or a far not-after time is not run', async () => {
	const world = new World();
	const {claims} = await world.vm('a');
	await world.decide(world.book(claims, world.key(), {answer: 'a'}));
	await expect(world.decide(world.book(claims, world.key({bodyHash: 'c', notAfterMs: 1_700_000_060_010})))).resolves.toEqual({type: 'not_run', reason: 'key_conflict'});
	const far = world.clock.wall() + 1_000_000;
	await expect(world.decide(world.book(claims, world.key({notAfterMs: far})))).resolves.toEqual({type: 'not_run', reason: 'key_too_long_lived'});
	// The log's clock judges a declared retry.
	await expect(world.decide(world.book(claims, world.key({notAfterMs: far, attempt: 2})))).resolves.toEqual({type: 'not_run', reason: 'key_too_long_lived'});
	expect(world.sent).toHaveLength(1);
});

// Guards against an append for each claim: the log takes several hundred a second for all entry VMs.
test('claims made together share an append', async () => {
	const world = new World();
	const {claims} = await world.vm('a');
	const bookings = Array.from({length: 100}, async (_, index) => world.book(claims, world.key({key: `k${index}`})));
	await world.decide(Promise.all(bookings));
	expect(world.sent).toHaveLength(100);
	expect(claims.stats).toMatchObject({appends: 1, won: 100, held: 100});
});
