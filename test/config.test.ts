import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import type {Declaration} from '../src/config/index.js';
import type {Daemon} from './support/daemon.js';
import {
	Fleet, post, rpc, until,
} from './support/fleet.js';

let fleet: Fleet;
/** Revisions reported by each incarnation, in polling order; checked by the last test. */
const revisionsByIncarnation = new Map<string, number[]>();
const polling = new AbortController();
let polls: Promise<unknown> = Promise.resolve();
/** Changes must be in effect everywhere within 4 s; the tests allow five times that for busy machines. */
const propagationTimeoutMs = 20_000;

const zone: Declaration = {kind: 'zone', name: 'riga-a', region: 'Riga'};
const team = (weight: number): Declaration => ({
	kind: 'team', name: 'engravers', weight, priority: 5, deadline_ms: 9000,
});

async function status(vm: Daemon): Promise<{revision: number; offset: number; incarnation: string; configState: string; logUnreachableMs: number}> {
	const body = await rpc(vm, 'Status', {});
	return {...body, revision: Number(body.revision), offset: Number(body.offset)};
}

async function apply(vm: Daemon, baseRevision: number, set: unknown[], changeId: string): Promise<any> {
	return rpc(vm, 'Apply', {
		baseRevision, set, author: 'test', changeId,
	});
}

async function untilInEffectEverywhere(revision: number): Promise<void> {
	await until(async () => (await Promise.all(fleet.entryVms.map(vm => status(vm)))).every(state => state.revision >= revision), `revision ${revision} everywhere`, propagationTimeoutMs);
}

/** Polls the revision of every process until the tests end; skips processes that are down. */
async function pollRevisions(): Promise<void> {
	while (!polling.signal.aborted) {
		for (const vm of fleet.entryVms) {
			try {
				const {incarnation, revision} = await status(vm);
				revisionsByIncarnation.set(incarnation, [...revisionsByIncarnation.get(incarnation) ?? [], revision]);
			} catch {
				// The process is being restarted.
			}
		}

		await sleep(20);
	}
}

async function logControl(path: string, body: unknown): Promise<void> {
	expect((await post(`${fleet.log.origin}${path}`, body)).status).toBe(200);
}

beforeAll(async () => {
	fleet = await Fleet.start();
	await Promise.all(['vm-1', 'vm-2', 'vm-3'].map(name => fleet.startEntryVm(name, 'riga-a', ['--config-snapshot-ms', '1500'])));
	await fleet.publish([zone, team(1)]);
	polls = pollRevisions();
});

afterAll(async () => {
	polling.abort();
	await polls;
	await fleet.close();
});

// Guards against accepting two changes on one base revision, and against an accepted change that is not in effect everywhere.
test('of two concurrent changes at different entry VMs exactly one is accepted', async () => {
	for (let round = 0; round < 10; round++) {
		const base = Math.max(...(await Promise.all(fleet.entryVms.map(vm => status(vm)))).map(state => state.revision));
		const results = await Promise.all([
			apply(fleet.entryVms[0]!, base, [team(10 + round)], `race-${round}-a`),
			apply(fleet.entryVms[1]!, base, [team(50 + round)], `race-${round}-b`),
		]);
		const accepted = results.filter(result => result.accepted);
		const conflicts = results.filter(result => result.conflict);
		expect([accepted.length, conflicts.length]).toEqual([1, 1]);
		const revision = Number(accepted[0].accepted.revision);
		expect(Number(conflicts[0].conflict.currentRevision)).toBe(revision);
		await untilInEffectEverywhere(revision);
		const weights = await Promise.all(fleet.entryVms.map(async vm => (await rpc(vm, 'Get', {keys: ['team/engravers']})).declarations[0].weight));
		expect(new Set(weights)).toEqual(new Set([results[0].accepted ? 10 + round : 50 + round]));
	}
});

// Guards against a wrong answer during an outage, and against a change that is applied twice when Apply is repeated.
test('Apply is unavailable during a log outage, recovers from a lost append response and is idempotent', async () => {
	const vm = fleet.entryVms[0]!;
	const base = (await status(vm)).revision;
	await logControl('/faults', {outage: true});
	expect(await apply(vm, base, [team(100)], 'outage')).toHaveProperty('unavailable');
	await until(async () => (await status(vm)).configState === 'unreachable', 'the outage in Status');
	await logControl('/faults', {lost_append_answers: 1});
	const result = await apply(vm, base, [team(101)], 'lost');
	expect(result).toHaveProperty('accepted');
	const revision = Number(result.accepted.revision);
	await untilInEffectEverywhere(revision);
	expect(await apply(fleet.entryVms[2]!, base, [team(101)], 'lost')).toEqual(result);
	expect(await apply(vm, base, [team(102)], 'stale')).toEqual({conflict: {currentRevision: String(revision)}});
});

// Guards against a change that breaks references, and against RPC errors that do not name the problem.
test('inconsistent, malformed and oversized requests get specific errors', async () => {
	const vm = fleet.entryVms[0]!;
	const base = (await status(vm)).revision;
	const result = await apply(vm, base, [{
		kind: 'target', name: 't-1', zone: 'nowhere', pool: 'nothing', address: 'http://127.0.0.1:7999',
	}], 'orphan');
	expect(result.invalid.findings.map((finding: {key: string; path: string}) => `${finding.key} ${finding.path}`)).toEqual(['target/t-1 pool', 'target/t-1 zone']);
	expect((await status(vm)).revision).toBe(base);
	const url = `http://127.0.0.1:${vm.ports.operators}/guavamill.v1.OperatorService`;
	const send = async (method: string, body: string) => {
		const res = await request(`${url}/${method}`, {method: 'POST', headers: {'content-type': 'application/json'}, body});
		return [res.statusCode, (await res.body.json() as {message: string}).message];
	};

	expect(await send('Apply', '{"baseRevision":')).toEqual([400, expect.stringContaining('cannot decode message guavamill.v1.ApplyRequest from JSON')]);
	expect(await send('Apply', JSON.stringify({changeId: '', set: [zone]}))).toEqual([400, expect.stringContaining('change_id')]);
	expect(await send('Apply', JSON.stringify({changeId: 'x'.repeat(9_000_000)}))).toEqual([429, expect.stringContaining('is larger than configured readMaxBytes')]);
	expect(await send('Drain', '{"target": "nothing"}')).toEqual([404, expect.stringContaining('not declared')]);
	expect(await send('Nothing', '{}')).toEqual([404, expect.any(String)]);
});

// Guards against a plan that differs from the effect of Apply.
test('Plan shows creations, changed fields and removals', async () => {
	const plan = await rpc(fleet.entryVms[0]!, 'Plan', {set: [team(7), {...zone, name: 'riga-b'}], prune: true});
	expect(plan.steps).toEqual([
		{action: 'ACTION_CHANGE', key: 'team/engravers', fields: ['weight']},
		{action: 'ACTION_CREATE', key: 'zone/riga-b', fields: []},
		{action: 'ACTION_REMOVE', key: 'zone/riga-a', fields: []},
	]);
	const trace = await rpc(fleet.entryVms[0]!, 'Trace', {limit: 5});
	expect(trace.events).toHaveLength(5);
	expect(trace.missingProcesses).toEqual([]);
});

// Guards against a configuration that is lost when its log records expire, and against an entry VM that starts without it.
test('after log records have expired new entry VMs start from a snapshot', async () => {
	const before = await status(fleet.entryVms[0]!);
	const records = async () => (await request(`${fleet.log.origin}/v1/streams/config/records?from=0`)).body.json() as Promise<{records: Array<{offset: number; record: {kind: string; revision: number; offset: number}}>}>;
	let snapshotOffset = -1;
	await until(async () => {
		const snapshot = (await records()).records.findLast(({record}) => record.kind === 'snapshot' && record.revision >= before.revision);
		snapshotOffset = snapshot?.record.offset ?? -1;
		return snapshot !== undefined;
	}, 'a snapshot');
	await logControl('/expire', {stream: 'config', below: snapshotOffset + 1});
	await fleet.entryVms.pop()!.kill();
	const newVm = await fleet.startEntryVm('vm-4', 'riga-a');
	await until(async () => (await status(newVm)).revision >= before.revision, 'the configuration at the new entry VM', propagationTimeoutMs);
	const result = await apply(newVm, (await status(newVm)).revision, [team(200)], 'after-expiry');
	expect(result).toHaveProperty('accepted');
	await untilInEffectEverywhere(Number(result.accepted.revision));
});

// Guards against an entry VM that does not shut down when an operator drains it.
test('Drain shuts the entry VM down', async () => {
	const vm = fleet.entryVms.pop()!;
	expect((await rpc(vm, 'Drain', {entryVm: true, author: 'test'})).state).toBe('draining');
	await until(() => vm.child.exitCode !== null, 'the exit');
	expect(vm.child.exitCode).toBe(0);
});

// Guards against a revision that decreases at any process during the tests above.
test('no process has reported a decreasing revision', () => {
	expect(revisionsByIncarnation.size).toBeGreaterThanOrEqual(4);
	for (const revisions of revisionsByIncarnation.values()) {
		expect(revisions).toEqual(revisions.toSorted((a, b) => a - b));
	}
});
