import {
	afterEach, expect, test,
} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {EventRing} from '../events/index.js';
import {silentLoggerFactory} from '../logs/index.js';
import {MemoryPlatformLog, type PlatformLog} from '../log/index.js';
import {Random} from '../random/index.js';
import {ConfigFollower} from './config-follower.js';
import type {ConfigPeers} from './config-peers.js';
import {encodeConfigState} from './config-state.js';
import {ConfigWriter} from './config-writer.js';
import {DeclarationSet} from './declarations-set.js';
import type {Declaration} from './declarations.js';
import {MemoryConfigPeers} from './memory-config-peers.js';

const retentionMs = 60_000;
const snapshotMs = retentionMs / 3;
const clocks: ManualClock[] = [];
const followers: ConfigFollower[] = [];

afterEach(async () => {
	for (const follower of followers.splice(0)) {
		follower.stop();
	}

	await Promise.all(clocks.splice(0).map(async clock => clock.advance(5000)));
});

function world(): {clock: ManualClock; log: MemoryPlatformLog} {
	const clock = ManualClock.create();
	clocks.push(clock);
	return {clock, log: MemoryPlatformLog.create({clock, retentionMs})};
}

function start(clock: ManualClock, log: PlatformLog, options: {peers?: ConfigPeers; seed?: number} = {}): {follower: ConfigFollower; writer: ConfigWriter; events: EventRing; revisions: number[]} {
	const events = EventRing.create({process: 'p', clock});
	const follower = ConfigFollower.create({
		clock, log, events, logger: silentLoggerFactory('config'), random: Random.create(options.seed ?? 1), snapshotMs, peers: options.peers,
	});
	const revisions: number[] = [];
	follower.onChange(config => revisions.push(config.revision));
	followers.push(follower);
	follower.start();
	return {
		follower, writer: ConfigWriter.create({clock, log, follower}), events, revisions,
	};
}

const team = (weight: number): Declaration => ({
	kind: 'team', name: 'engravers', weight, priority: 5, deadline_ms: 9000,
});
const change = (changeId: string, base: number, weight = 1) => ({
	changeId, base, author: 'test', set: [team(weight)], remove: [],
});
const weight = (follower: ConfigFollower) => follower.current().declarations.team('engravers')?.weight;

/** Runs the clock until the promise settles, for at most 20 s of its time. */
async function settle<T>(clock: ManualClock, promise: Promise<T>): Promise<T> {
	const done = new AbortController();
	void promise.finally(() => {
		done.abort();
	});
	for (let step = 0; step < 200 && !done.signal.aborted; step++) {
		await clock.advance(100);
	}

	return promise;
}

// Guards against an accepted answer before the change is in force, and against two winners.
test('an accepted change is in force here; the racing one conflicts', async () => {
	const {clock, log} = world();
	const [a, b] = [start(clock, log), start(clock, log)];
	const results = await settle(clock, Promise.all([a.writer.apply(change('a', -1, 1)), b.writer.apply(change('b', -1, 2))]));
	expect(results.map(result => result.type).toSorted()).toEqual(['accepted', 'conflict']);
	await clock.advance(1000);
	expect(weight(a.follower)).toBe(weight(b.follower));
	expect(a.follower.current().revision).toBe(0);
});

// Guards against a lost append answer that is reported as failure, and against a repeat that runs twice.
test('a lost append answer is settled by change id, and a repeat answers the earlier verdict', async () => {
	const {clock, log} = world();
	const {writer} = start(clock, log);
	log.faults = {lostAppendAnswers: 1};
	expect(await settle(clock, writer.apply(change('a', -1)))).toEqual({type: 'accepted', revision: 0});
	expect(await settle(clock, writer.apply(change('b', 0, 2)))).toEqual({type: 'accepted', revision: 1});
	expect(await settle(clock, writer.apply(change('a', -1)))).toEqual({type: 'accepted', revision: 0});
	expect(log.appends).toBe(2);
});

// Guards against a late append that is reported as not applied.
test('an append that lands after the answer is unknown, and a repeat settles it', async () => {
	const {clock, log} = world();
	const {writer, follower} = start(clock, log);
	log.faults = {lateAppends: 1, lateAppendMs: 8000};
	expect((await settle(clock, writer.apply(change('a', -1)))).type).toBe('unknown');
	log.faults = {outage: true};
	expect((await settle(clock, writer.apply(change('a', -1)))).type).toBe('unknown');
	log.faults = {};
	await clock.advance(8000);
	expect(follower.current().revision).toBe(0);
	expect(await settle(clock, writer.apply(change('a', -1)))).toEqual({type: 'accepted', revision: 0});
});

// Guards against an outage that is answered as conflict or accepted, and against a stale age in Status.
test('during an outage Apply is unavailable, the old state stays, and reading resumes', async () => {
	const {clock, log} = world();
	const {writer, follower} = start(clock, log);
	await settle(clock, writer.apply(change('a', -1)));
	log.faults = {outage: true};
	await clock.advance(3000);
	expect((await settle(clock, writer.apply(change('b', 0)))).type).toBe('unavailable');
	expect(follower.state).toBe('unreachable');
	expect(follower.unreachableMs).toBeGreaterThanOrEqual(1500);
	expect(follower.ageMs).toBeGreaterThanOrEqual(2000);
	expect(follower.current().revision).toBe(0);
	log.faults = {};
	await clock.advance(1000);
	expect(follower.state).toBe('following');
	expect(follower.unreachableMs).toBe(0);
});

// Guards against a configuration that expires with its records, and against one snapshot per entry VM.
test('snapshots outlive the records; a new process and one with a gap start over from them', async () => {
	const {clock, log} = world();
	const vms = Array.from({length: 9}, (_, seed) => start(clock, log, {seed}));
	await settle(clock, vms[0]!.writer.apply(change('a', -1, 3)));
	let isCut = false;
	const cut: PlatformLog = {
		append: log.append.bind(log), async read(...args) {
			const page = isCut ? undefined : await log.read(...args);
			if (!page || isCut) {
				throw new Error('cut off');
			}

			return page;
		},
	};
	const returning = start(clock, cut);
	await clock.advance(1000);
	isCut = true;
	await settle(clock, vms[1]!.writer.apply(change('b', 0, 4)));
	for (let step = 0; step < 30; step++) {
		await clock.advance(retentionMs / 6);
	}

	// 300 s with one snapshot each 20 to 22 s; a few are written twice.
	const written = vms.reduce((sum, {events}) => sum + events.select().filter(event => event.kind === 'config_snapshot').length, 0);
	expect(written).toBeGreaterThanOrEqual(13);
	expect(written).toBeLessThanOrEqual(2 * 15);
	const page = await log.read('config', 0);
	expect(page.earliest).toBeGreaterThan(1);
	const fresh = start(clock, log);
	expect(weight(returning.follower)).toBe(3);
	isCut = false;
	await clock.advance(3000);
	expect([fresh, returning].map(({follower}) => [weight(follower), follower.current().revision, follower.state])).toEqual([[4, 1, 'following'], [4, 1, 'following']]);
	expect(returning.events.select().filter(event => event.kind === 'config_gap')).toHaveLength(1);
	expect(await settle(clock, fresh.writer.apply(change('b', 0, 4)))).toEqual({type: 'accepted', revision: 1});
});

// Guards against a snapshot that reverts a process or is used although later records expired.
test('a forged, corrupt or too old snapshot reverts nothing', async () => {
	const {clock, log} = world();
	const vm = start(clock, log);
	await settle(clock, vm.writer.apply(change('a', -1, 1)));
	await settle(clock, vm.writer.apply(change('b', 0, 2)));
	const genuine = encodeConfigState(vm.follower.current(), []);
	const forged = encodeConfigState({offset: 1, revision: 1, declarations: DeclarationSet.create([team(99)])}, []);
	const future = encodeConfigState({offset: 1000, revision: 1000, declarations: DeclarationSet.create([team(99)])}, []);
	const old = encodeConfigState({offset: 0, revision: 0, declarations: DeclarationSet.create([team(1)])}, []);
	await log.append('config', [genuine, {...genuine, state: [team(99)]}, future, old].map(state => ({kind: 'snapshot', ...state})));
	await log.append('config', [{kind: 'snapshot', ...forged}]);
	await clock.advance(1000);
	expect(vm.follower.current()).toMatchObject({revision: 1});
	expect(vm.follower.current().offset).toBeGreaterThanOrEqual(6);
	expect(weight(vm.follower)).toBe(2);
	// The process that was ahead has noticed the wrong snapshot and appended its own.
	await clock.advance(5000);
	expect(vm.events.select().some(event => event.kind === 'config_snapshot')).toBe(true);
	log.expireBelow('config', 2);
	const fresh = start(clock, log);
	await clock.advance(1000);
	expect(weight(fresh.follower)).toBe(2);
	vm.follower.receive({...future, digest: 'x'}, 'peer');
	vm.follower.receive(old, 'peer');
	vm.follower.receive('garbage', 'peer');
	expect(weight(vm.follower)).toBe(2);
	expect(vm.revisions).toEqual([0, 1]);
});

// Guards against an entry VM that cannot start during an outage, and against a cut-off zone that reverts on return.
test('peers supply a process started in an outage and a cut-off zone', async () => {
	const {clock, log} = world();
	const down = MemoryPlatformLog.create({clock});
	down.faults = {outage: true};
	const network = MemoryConfigPeers.network();
	const a = start(clock, log, {peers: network.join('a')});
	await settle(clock, a.writer.apply(change('a', -1, 1)));
	const late = start(clock, down, {peers: network.join('late')});
	await clock.advance(1000);
	expect(weight(late.follower)).toBe(1);
	expect(late.follower.state).toBe('unreachable');
	expect(late.follower.ageMs).toBeLessThan(3000);
	network.cutOff.add('late');
	await settle(clock, a.writer.apply(change('b', 0, 2)));
	await clock.advance(2000);
	expect(weight(late.follower)).toBe(1);
	network.cutOff.delete('late');
	late.follower.hintOffset(1, 'a');
	await clock.advance(0);
	expect(weight(late.follower)).toBe(2);
	expect(late.revisions).toEqual([0, 1]);
	expect(late.follower.verdict('b')?.verdict).toBe('accepted');
});

// Guards against a stalled long poll that delays a change which a peer has read already.
test('a hint of a higher offset starts a read at once', async () => {
	const {clock, log} = world();
	let stalled = true;
	const half: PlatformLog = {
		append: log.append.bind(log), async read(stream, from, options) {
			if (stalled) {
				stalled = false;
				await clock.sleep(60_000, options?.signal);
			}

			return log.read(stream, from, options);
		},
	};
	const a = start(clock, log);
	const b = start(clock, half);
	await settle(clock, a.writer.apply(change('a', -1, 1)));
	expect(b.follower.current().revision).toBe(-1);
	b.follower.hintOffset(0, 'a');
	await clock.advance(0);
	expect(b.follower.current().revision).toBe(0);
});

// Guards against memory that grows with each change.
test('the verdicts held are bounded', async () => {
	const {clock, log} = world();
	const {follower} = start(clock, log);
	for (let part = 0; part < 10; part++) {
		await log.append('config', Array.from({length: 1000}, (_, index) => ({
			kind: 'change', id: `${part}-${index}`, base: 99, set: [team(1)],
		})));
		await clock.advance(100);
	}

	expect(follower.current().offset).toBe(9999);
	expect(follower.verdictCount).toBe(4096);
});

// Guards against a process that stays without configuration when its records expired before any snapshot.
test('peers fill a gap that no snapshot covers', async () => {
	const {clock, log} = world();
	const network = MemoryConfigPeers.network();
	const a = start(clock, log, {peers: network.join('a')});
	await settle(clock, a.writer.apply(change('a', -1, 1)));
	await settle(clock, a.writer.apply(change('b', 0, 2)));
	log.expireBelow('config', 2);
	const alone = start(clock, log);
	const fresh = start(clock, log, {peers: network.join('fresh')});
	await clock.advance(300);
	expect([alone.follower.state, weight(alone.follower)]).toEqual(['gap', undefined]);
	expect([fresh.follower.state, weight(fresh.follower)]).toEqual(['gap', 2]);
	// A process that is ahead sees that no snapshot is readable and appends one early.
	await clock.advance(5000);
	expect([alone, fresh].map(({follower}) => [follower.state, weight(follower)])).toEqual([['following', 2], ['following', 2]]);
	expect(await settle(clock, fresh.writer.apply(change('c', 1, 3)))).toMatchObject({type: 'accepted'});
});

// Guards against an accepted answer for a change that was appended but not read back.
test('a change that cannot be read back is unknown', async () => {
	const {clock, log} = world();
	let isReadable = true;
	const deaf: PlatformLog = {
		append: log.append.bind(log), async read(...args) {
			const page = await log.read(...args);
			if (!isReadable) {
				throw new Error('no answer');
			}

			return page;
		},
	};
	const {writer, follower} = start(clock, deaf);
	await clock.advance(1000);
	isReadable = false;
	expect((await settle(clock, writer.apply(change('a', -1)))).type).toBe('unknown');
	expect(follower.current().revision).toBe(-1);
	isReadable = true;
	await clock.advance(1000);
	expect(await settle(clock, writer.apply(change('a', -1)))).toEqual({type: 'accepted', revision: 0});
	expect(log.appends).toBe(1);
});
