import {
	afterEach, expect, test,
} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {EventRing} from '../events/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {MemoryPlatformLog, type PlatformLog} from '../platform-log/index.js';
import {Random} from '../random/index.js';
import {ConfigFollower} from './config-follower.js';
import type {ConfigPeers} from './config-peers.js';
import {encodeConfigState} from './config-state.js';
import {ConfigWriter} from './config-writer.js';
import {DeclarationSet} from './declaration-set.js';
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

function createLog(): {clock: ManualClock; log: MemoryPlatformLog} {
	const clock = ManualClock.create();
	clocks.push(clock);
	return {clock, log: MemoryPlatformLog.create({clock, retentionMs})};
}

function startVm(clock: ManualClock, log: PlatformLog, options: {peers?: ConfigPeers; seed?: number} = {}): {follower: ConfigFollower; writer: ConfigWriter; events: EventRing; revisions: number[]} {
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

/** Advances the clock until the promise settles, by at most 20 s. */
async function advanceUntilSettled<T>(clock: ManualClock, promise: Promise<T>): Promise<T> {
	const settled = new AbortController();
	void promise.finally(() => {
		settled.abort();
	});
	for (let step = 0; step < 200 && !settled.signal.aborted; step++) {
		await clock.advance(100);
	}

	return promise;
}

// Guards against a result of `accepted` before the change is in force, and against two accepted changes with one base.
test('an accepted change is in force on the entry VM that accepted it, and a concurrent change conflicts', async () => {
	const {clock, log} = createLog();
	const [a, b] = [startVm(clock, log), startVm(clock, log)];
	const results = await advanceUntilSettled(clock, Promise.all([a.writer.apply(change('a', -1, 1)), b.writer.apply(change('b', -1, 2))]));
	expect(results.map(result => result.type).toSorted()).toEqual(['accepted', 'conflict']);
	await clock.advance(1000);
	expect(weight(a.follower)).toBe(weight(b.follower));
	expect(a.follower.current().revision).toBe(0);
});

// Guards against reporting a failure when only the response of an append is lost, and against applying a repeated change twice.
test('a change whose append response is lost is resolved by its id, and a repeat returns the earlier verdict', async () => {
	const {clock, log} = createLog();
	const {writer} = startVm(clock, log);
	log.faults = {lostAppendAnswers: 1};
	expect(await advanceUntilSettled(clock, writer.apply(change('a', -1)))).toEqual({type: 'accepted', revision: 0});
	expect(await advanceUntilSettled(clock, writer.apply(change('b', 0, 2)))).toEqual({type: 'accepted', revision: 1});
	expect(await advanceUntilSettled(clock, writer.apply(change('a', -1)))).toEqual({type: 'accepted', revision: 0});
	expect(log.appends).toBe(2);
});

// Guards against reporting a change as not applied when its append takes effect after the time limit.
test('the result of a late append is unknown, and a repeat resolves it', async () => {
	const {clock, log} = createLog();
	const {writer, follower} = startVm(clock, log);
	log.faults = {lateAppends: 1, lateAppendMs: 8000};
	expect((await advanceUntilSettled(clock, writer.apply(change('a', -1)))).type).toBe('unknown');
	log.faults = {outage: true};
	expect((await advanceUntilSettled(clock, writer.apply(change('a', -1)))).type).toBe('unknown');
	log.faults = {};
	await clock.advance(8000);
	expect(follower.current().revision).toBe(0);
	expect(await advanceUntilSettled(clock, writer.apply(change('a', -1)))).toEqual({type: 'accepted', revision: 0});
});

// Guards against a result of `conflict` or `accepted` during an outage of the log, and against a wrong age in Status.
test('during an outage Apply is unavailable and the configuration stays in force; reading resumes afterwards', async () => {
	const {clock, log} = createLog();
	const {writer, follower} = startVm(clock, log);
	await advanceUntilSettled(clock, writer.apply(change('a', -1)));
	log.faults = {outage: true};
	await clock.advance(3000);
	expect((await advanceUntilSettled(clock, writer.apply(change('b', 0)))).type).toBe('unavailable');
	expect(follower.state).toBe('unreachable');
	expect(follower.logUnreachableMs).toBeGreaterThanOrEqual(1500);
	expect(follower.ageMs).toBeGreaterThanOrEqual(2000);
	expect(follower.current().revision).toBe(0);
	log.faults = {};
	await clock.advance(1000);
	expect(follower.state).toBe('following');
	expect(follower.logUnreachableMs).toBe(0);
});

// Guards against losing the configuration when its records expire, and against a snapshot by every entry VM in each interval.
test('a new process and one with a gap restart from snapshots after the records have expired', async () => {
	const {clock, log} = createLog();
	const vms = Array.from({length: 9}, (_, seed) => startVm(clock, log, {seed}));
	await advanceUntilSettled(clock, vms[0]!.writer.apply(change('a', -1, 3)));
	let isPartitioned = false;
	const partitionedLog: PlatformLog = {
		append: log.append.bind(log), async read(...args) {
			const page = isPartitioned ? undefined : await log.read(...args);
			if (!page || isPartitioned) {
				throw new Error('partitioned');
			}

			return page;
		},
	};
	const partitionedVm = startVm(clock, partitionedLog);
	await clock.advance(1000);
	isPartitioned = true;
	await advanceUntilSettled(clock, vms[1]!.writer.apply(change('b', 0, 4)));
	for (let step = 0; step < 30; step++) {
		await clock.advance(retentionMs / 6);
	}

	// 300 s with one snapshot every 20 to 22 s; a few are appended by two entry VMs.
	const snapshotCount = vms.reduce((sum, {events}) => sum + events.select().filter(event => event.kind === 'config_snapshot').length, 0);
	expect(snapshotCount).toBeGreaterThanOrEqual(13);
	expect(snapshotCount).toBeLessThanOrEqual(2 * 15);
	const page = await log.read('config', 0);
	expect(page.earliest).toBeGreaterThan(1);
	const fresh = startVm(clock, log);
	expect(weight(partitionedVm.follower)).toBe(3);
	isPartitioned = false;
	await clock.advance(3000);
	expect([fresh, partitionedVm].map(({follower}) => [weight(follower), follower.current().revision, follower.state])).toEqual([[4, 1, 'following'], [4, 1, 'following']]);
	expect(partitionedVm.events.select().filter(event => event.kind === 'config_gap')).toHaveLength(1);
	expect(await advanceUntilSettled(clock, fresh.writer.apply(change('b', 0, 4)))).toEqual({type: 'accepted', revision: 1});
});

// Guards against a snapshot that reverts a process, or that is used although records after it have expired.
test('a forged, corrupt or outdated snapshot reverts nothing', async () => {
	const {clock, log} = createLog();
	const vm = startVm(clock, log);
	await advanceUntilSettled(clock, vm.writer.apply(change('a', -1, 1)));
	await advanceUntilSettled(clock, vm.writer.apply(change('b', 0, 2)));
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
	// The process whose state was newer has detected the invalid snapshot and appended its own.
	await clock.advance(5000);
	expect(vm.events.select().some(event => event.kind === 'config_snapshot')).toBe(true);
	log.expireBelow('config', 2);
	const fresh = startVm(clock, log);
	await clock.advance(1000);
	expect(weight(fresh.follower)).toBe(2);
	vm.follower.receive({...future, digest: 'x'}, 'peer');
	vm.follower.receive(old, 'peer');
	vm.follower.receive('garbage', 'peer');
	expect(weight(vm.follower)).toBe(2);
	expect(vm.revisions).toEqual([0, 1]);
});

// Guards against an entry VM that cannot start during an outage of the log, and against a zone that reverts after a partition.
test('a process started during an outage and a partitioned zone get the configuration from peers', async () => {
	const {clock, log} = createLog();
	const unreachableLog = MemoryPlatformLog.create({clock});
	unreachableLog.faults = {outage: true};
	const network = MemoryConfigPeers.create();
	const a = startVm(clock, log, {peers: network.join('a')});
	await advanceUntilSettled(clock, a.writer.apply(change('a', -1, 1)));
	const late = startVm(clock, unreachableLog, {peers: network.join('late')});
	await clock.advance(1000);
	expect(weight(late.follower)).toBe(1);
	expect(late.follower.state).toBe('unreachable');
	expect(late.follower.ageMs).toBeLessThan(3000);
	network.cutOff.add('late');
	await advanceUntilSettled(clock, a.writer.apply(change('b', 0, 2)));
	await clock.advance(2000);
	expect(weight(late.follower)).toBe(1);
	network.cutOff.delete('late');
	late.follower.hintOffset(1, 'a');
	await clock.advance(0);
	expect(weight(late.follower)).toBe(2);
	expect(late.revisions).toEqual([0, 1]);
	expect(late.follower.verdict('b')?.verdict).toBe('accepted');
});

// Guards against a stalled long poll that delays a change which a peer has already read.
test('a hint of a higher offset starts a read immediately', async () => {
	const {clock, log} = createLog();
	let isStalled = true;
	const stallingLog: PlatformLog = {
		append: log.append.bind(log), async read(stream, from, options) {
			if (isStalled) {
				isStalled = false;
				await clock.sleep(60_000, options?.signal);
			}

			return log.read(stream, from, options);
		},
	};
	const a = startVm(clock, log);
	const b = startVm(clock, stallingLog);
	await advanceUntilSettled(clock, a.writer.apply(change('a', -1, 1)));
	expect(b.follower.current().revision).toBe(-1);
	b.follower.hintOffset(0, 'a');
	await clock.advance(0);
	expect(b.follower.current().revision).toBe(0);
});

// Guards against memory use that grows with the number of changes.
test('the number of verdicts in memory is bounded', async () => {
	const {clock, log} = createLog();
	const {follower} = startVm(clock, log);
	for (let part = 0; part < 10; part++) {
		await log.append('config', Array.from({length: 1000}, (_, index) => ({
			kind: 'change', id: `${part}-${index}`, base: 99, set: [team(1)],
		})));
		await clock.advance(100);
	}

	expect(follower.current().offset).toBe(9999);
	expect(follower.verdictCount).toBe(4096);
});

// Guards against a process that remains without configuration when records expired before the first snapshot.
test('a gap that no snapshot covers is recovered from peers', async () => {
	const {clock, log} = createLog();
	const network = MemoryConfigPeers.create();
	const a = startVm(clock, log, {peers: network.join('a')});
	await advanceUntilSettled(clock, a.writer.apply(change('a', -1, 1)));
	await advanceUntilSettled(clock, a.writer.apply(change('b', 0, 2)));
	log.expireBelow('config', 2);
	const withoutPeers = startVm(clock, log);
	const fresh = startVm(clock, log, {peers: network.join('fresh')});
	await clock.advance(300);
	expect([withoutPeers.follower.state, weight(withoutPeers.follower)]).toEqual(['gap', undefined]);
	expect([fresh.follower.state, weight(fresh.follower)]).toEqual(['gap', 2]);
	// A process with a newer state detects that no snapshot is readable and appends one early.
	await clock.advance(5000);
	expect([withoutPeers, fresh].map(({follower}) => [follower.state, weight(follower)])).toEqual([['following', 2], ['following', 2]]);
	expect(await advanceUntilSettled(clock, fresh.writer.apply(change('c', 1, 3)))).toMatchObject({type: 'accepted'});
});

// Guards against a result of `accepted` for a change that was appended but not read back.
test('the result of a change that cannot be read back is unknown', async () => {
	const {clock, log} = createLog();
	let isReadable = true;
	const unreadableLog: PlatformLog = {
		append: log.append.bind(log), async read(...args) {
			const page = await log.read(...args);
			if (!isReadable) {
				throw new Error('no answer');
			}

			return page;
		},
	};
	const {writer, follower} = startVm(clock, unreadableLog);
	await clock.advance(1000);
	isReadable = false;
	expect((await advanceUntilSettled(clock, writer.apply(change('a', -1)))).type).toBe('unknown');
	expect(follower.current().revision).toBe(-1);
	isReadable = true;
	await clock.advance(1000);
	expect(await advanceUntilSettled(clock, writer.apply(change('a', -1)))).toEqual({type: 'accepted', revision: 0});
	expect(log.appends).toBe(1);
});
