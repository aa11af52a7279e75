import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import type {Declaration} from '../src/config/index.js';
import {Random} from '../src/random/index.js';
import type {Daemon} from './support/daemon.js';
import {
	Fleet, get, pipelineUrl, post, until,
} from './support/fleet.js';

type Run = {request_id: string; key?: string};
type Attempt = {vm: Daemon; key: string; outcome: string; reason?: string; answer?: string; request_id?: string};

const keysPerWave = 12;
const deadlineMs = 1500;
let fleet: Fleet;
let ledger: Daemon;

beforeAll(async () => {
	fleet = await Fleet.start();
	ledger = await fleet.startTarget('ledger', 'service', ['--service-ms', '20', '--slots', '64']);
	const booking = (name: string, lookup: boolean): Declaration[] => [
		{
			kind: 'pool', name, type: 'service', prefill_ms_per_token: 0, decode_ms_per_token: 0, service_ms: 20, cost_per_second: 0, lookup,
		},
		{
			kind: 'target', name: `${name}-1`, zone: 'riga-a', pool: name, address: ledger.origin, slots: 64, checks_fencing: false,
		},
		{
			kind: 'pipeline',
			name,
			deadline_ms: deadlineMs,
			stages: [{
				name: 'book', kind: 'call', pool: name, idempotent: false,
			}],
		},
	];
	await fleet.publish([
		{kind: 'zone', name: 'riga-a', region: 'Riga'},
		{
			kind: 'team', name: 'die-works', weight: 1, priority: 5, deadline_ms: deadlineMs,
		},
		...booking('strike', false),
		...booking('strike-with-lookup', true),
	]);
	await Promise.all(['vm-1', 'vm-2', 'vm-3'].map(async name => fleet.startEntryVm(name, 'riga-a')));
	await fleet.untilReady();
});

afterAll(async () => {
	await fleet.close();
});

async function setLogFaults(faults: Record<string, unknown>): Promise<void> {
	await post(`${fleet.log.origin}/faults`, faults);
}

async function runs(): Promise<Run[]> {
	return (await get(`${ledger.origin}/runs`)).runs as Run[];
}

const notAfterMs = Date.now() + 600_000;

/** Sends one attempt of a booking; a broken connection has the outcome `broken`. */
async function book(vm: Daemon, key: string, attempt: number, pipeline = 'strike'): Promise<Attempt> {
	try {
		const {body} = await post(pipelineUrl(vm, pipeline), {team: 'die-works', input: {text: `strike ${key}`}, idempotency: {key, not_after_ms: notAfterMs, attempt}});
		return {vm, key, ...body};
	} catch {
		return {vm, key, outcome: 'broken'};
	}
}

function groupBy<T, K>(items: readonly T[], keyOf: (item: T) => K): Map<K, T[]> {
	const groups = new Map<K, T[]>();
	for (const item of items) {
		groups.set(keyOf(item), [...groups.get(keyOf(item)) ?? [], item]);
	}

	return groups;
}

// Guards against a key that runs twice, a false `not_run` and a changed answer when entry VMs race during failures.
test('concurrent retries of a key run at most once while entry VMs are killed or paused and the log fails', async () => {
	const random = Random.create(7);
	const [first, second, third] = fleet.entryVms as [Daemon, Daemon, Daemon];
	const waves: Array<[name: string, fault: () => Promise<void>]> = [
		['no fault', async () => undefined],
		['lost answers', async () => setLogFaults({lost_append_answers: 3})],
		['late appends', async () => setLogFaults({late_appends: 3, late_append_ms: 400})],
		['appends after the deadline', async () => setLogFaults({late_appends: 4, late_append_ms: 2500})],
		['pause', async () => {
			second.pause();
			await sleep(2500);
			second.resume();
		}],
		['outage', async () => {
			await setLogFaults({outage: true});
			await sleep(1000);
		}],
		['kill', async () => third.kill()],
		['late appends and a pause', async () => {
			await setLogFaults({late_appends: 2, late_append_ms: 1000});
			second.pause();
			await sleep(1200);
			second.resume();
		}],
	];
	const attempts: Attempt[] = [];
	const retries: Attempt[] = [];
	for (const [name, fault] of waves) {
		const keys = Array.from({length: keysPerWave}, (_, index) => `${name} ${index}`);
		const racing = keys.map(async key => {
			const startMs = random.integer(0, 60);
			return Promise.all(fleet.entryVms.map(async (vm, index) => {
				await sleep(startMs + random.integer(0, 30));
				return book(vm, key, index + 1);
			}));
		});
		await sleep(25);
		await fault();
		attempts.push(...(await Promise.all(racing)).flat());
		await setLogFaults({});
		await until(async () => (await book(first, `${name} probe`, 1)).outcome === 'done', 'the end of the fault');
		retries.push(...await Promise.all(keys.flatMap(key => [first, second].map(async vm => book(vm, key, 4)))));
	}

	const ran = await runs();
	const byKey = groupBy(ran, run => run.key);
	expect([...byKey].filter(([, keyRuns]) => keyRuns.length > 1)).toEqual([]);
	const ids = new Set(ran.map(run => run.request_id));
	const all = [...attempts, ...retries];
	expect(all.filter(result => result.outcome === 'not_run' && ids.has(result.request_id!))).toEqual([]);
	for (const retry of retries) {
		const done = attempts.find(result => result.key === retry.key && result.outcome === 'done');
		if (retry.outcome === 'done') {
			expect(byKey.get(retry.key)).toHaveLength(1);
		}

		// An entry VM that is killed after it answered and before it recorded the outcome leaves the outcome unknown.
		if (done && done.vm !== third) {
			expect(retry).toMatchObject({outcome: 'done'});
			expect([undefined, done.answer]).toContain(retry.answer);
		}
	}

	// The injected faults must have produced every kind of outcome.
	const counts = groupBy(all, result => result.outcome);
	console.log(Object.fromEntries([...counts].map(([outcome, results]) => [outcome, results.length])), `${ran.length} runs`);
	expect([...counts.keys()]).toEqual(expect.arrayContaining(['done', 'not_run', 'unknown', 'broken']));
});

// Guards against a false `not_run` answer to a declared retry, and against first attempts that wait for an unavailable log.
test('an outage leaves retries unknown and rejects first attempts as not run', async () => {
	const vm = fleet.entryVms[0]!;
	await setLogFaults({outage: true});
	const {key} = (await post(`http://127.0.0.1:${vm.ports.callers}/v1/keys`, {})).body as {key: string};
	expect(await book(vm, 'outage', 1)).toMatchObject({outcome: 'not_run', reason: 'log_unavailable'});
	expect(await book(vm, 'outage', 2)).toMatchObject({outcome: 'unknown', reason: 'earlier_attempt_unknown'});
	expect(await book(vm, key, 1)).toMatchObject({outcome: 'done'});
	expect(await book(fleet.entryVms[1]!, key, 2)).toMatchObject({outcome: 'unknown', reason: 'minter_gone'});
	await setLogFaults({});
	await until(async () => (await book(vm, 'outage', 3)).outcome === 'done', 'the booking after the outage');
	expect((await runs()).filter(run => run.key === 'outage' || run.key === key)).toHaveLength(2);
});

// Guards against sending a call without a key again, and against `unknown` if the target can look up the outcome.
test.each([
	['without a key', {drop_answers: 1}, 'strike', undefined, 'unknown'],
	['with a key and without lookup', {drop_answers: 1}, 'strike', 'dropped', 'unknown'],
	['with a key and lookup', {drop_answers: 1}, 'strike-with-lookup', 'looked up', 'done'],
	['on a call that never answers, with lookup', {stuck: true}, 'strike-with-lookup', 'stuck', 'done'],
])('a call whose answer is lost is sent once: %s', async (_name, faults, pipeline, key, outcome) => {
	const before = (await runs()).length;
	await post(`${ledger.origin}/faults`, faults);
	const vm = fleet.entryVms[0]!;
	const {body} = key === undefined
		? await post(pipelineUrl(vm, pipeline), {team: 'die-works', input: {text: 'strike'}})
		: {body: await book(vm, key, 1, pipeline)};
	await post(`${ledger.origin}/faults`, {});
	expect(body).toMatchObject({outcome});
	expect((await runs()).slice(before).map(run => run.request_id)).toEqual([body.request_id]);
});
