import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {Random} from '../src/random/index.js';
import {
	get, rpc, until,
} from './support/fleet.js';
import {
	operate, planStorm, runFault, untilCalm, type OperatorChange, type StormRecord,
} from './support/storm-faults.js';
import {sendLoad, type LoadResult} from './support/storm-load.js';
import {ZoneFleet} from './support/zone-fleet.js';

type Run = {request_id: string; key?: string};

const seed = Number(process.env.STORM_SEED ?? 20_261_204);
const stormMs = 40_000;
const deadlineMs = 5000;
const callers = 12;
const zones = ['riga-a', 'liepaja-a', 'daugavpils-a'];

let fleet: ZoneFleet;
let results: LoadResult[] = [];
let changes: OperatorChange[] = [];
/** Runs of the booking services. */
let runs: Run[] = [];
/** Runs of the first stage of idempotent requests; encoders are never killed, so their lists are whole. */
let encodings: Run[] = [];
const record: StormRecord = {killed: new Set(), lateRuns: []};
/** Revisions that each incarnation has shown, in order of polling. */
const seen = new Map<string, number[]>();

beforeAll(async () => {
	fleet = await ZoneFleet.start({zones, engines: 2, deadlineMs});
	const random = Random.create(seed);
	const plan = planStorm(fleet, random, stormMs);
	console.log(`seed ${seed}:`, plan.map(fault => `${fault.atMs}+${fault.lastsMs} ${fault.kind} ${fault.subject}`).join(', '));
	const over = new AbortController();
	const calmed = new AbortController();
	const polling = pollRevisions(calmed.signal);
	const operators = ['operator-1', 'operator-2'].map(async (name, index) => operate(fleet, {
		name, random: Random.create(seed + 100 + index), signal: over.signal, rpc: callVm,
	}));
	const load = Array.from({length: callers}, async (_, index) => sendLoad(fleet, Random.create(seed + 1 + index), over.signal));
	await Promise.all(plan.map(async fault => {
		await sleep(fault.atMs);
		await runFault(fleet, fault, record);
	}));
	over.abort();
	results = (await Promise.all(load)).flat();
	changes = (await Promise.all(operators)).flat();
	await untilCalm(fleet, callVm);
	runs = [...await runsOf('strike-'), ...await runsOf('commission-')];
	encodings = await runsOf('encoders-');
	await until(async () => (await statuses()).every(status => Number(status.revision) === Math.max(...[...seen.values()].flat())), 'one revision everywhere', 60_000);
	calmed.abort();
	await polling;
	report();
}, 240_000);

afterAll(async () => {
	await fleet.close();
});

async function runsOf(prefix: string): Promise<Run[]> {
	return (await Promise.all(fleet.targets(prefix).map(async ([, target]) => (await get(`${target.origin}/runs`)).runs as Run[]))).flat();
}

/** Calls an entry VM by name; a paused one answers once it goes on. */
async function callVm(name: string, method: string, body: unknown): Promise<any> {
	return rpc(fleet.vms.get(name)!, method, body);
}

async function statuses(): Promise<any[]> {
	return Promise.all([...fleet.vms.keys()].map(async name => callVm(name, 'Status', {})));
}

/** Polls each entry VM on its own, so that a paused one holds up no other. */
async function pollRevisions(signal: AbortSignal): Promise<void> {
	await Promise.all([...fleet.vms.keys()].map(async name => {
		while (!signal.aborted) {
			try {
				const {incarnation, revision} = await callVm(name, 'Status', {});
				seen.set(incarnation, [...seen.get(incarnation) ?? [], Number(revision)]);
			} catch {
				// The entry VM is being restarted.
			}

			await sleep(100);
		}
	}));
}

function report(): void {
	for (const kind of ['stream', 'plain', 'unkeyed', 'keyed', 'minted']) {
		const own = results.filter(result => result.kind === kind);
		const counts: Record<string, number> = {};
		for (const {outcome, reason} of own) {
			const name = reason === undefined ? outcome : `${outcome} ${reason}`;
			counts[name] = (counts[name] ?? 0) + 1;
		}

		const inTime = own.filter(({outcome, ms}) => outcome === 'done' && ms <= deadlineMs).length;
		console.log(`${kind}: attainment ${(100 * inTime / Math.max(1, own.length)).toFixed(1)} % of ${own.length}`, counts);
	}

	console.log(`${runs.length} booking runs, ${record.killed.size} entry VMs killed, changes:`, countResults());
}

function countResults(): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {result} of changes) {
		counts[result] = (counts[result] ?? 0) + 1;
	}

	return counts;
}

function repeated(values: readonly string[]): string[] {
	const known = new Set<string>();
	return values.filter(value => known.size === known.add(value).size);
}

// Guards against a booking that runs twice when several faults meet.
test('no key and no unkeyed request ran twice', () => {
	expect(runs.length).toBeGreaterThan(0);
	expect(repeated(runs.flatMap(run => run.key ?? []))).toEqual([]);
	expect(repeated(runs.map(run => run.request_id))).toEqual([]);
});

// Guards against a rejection that says not run although its booking ran.
test('every not_run answer is true', () => {
	const ran = new Set([...runs, ...encodings].map(run => run.request_id));
	expect(results.filter(({kind}) => kind !== 'stream' && kind !== 'plain').some(({outcome}) => outcome === 'not_run')).toBe(true);
	expect(results.filter(({outcome, requestId}) => outcome === 'not_run' && ran.has(requestId!))).toEqual([]);
});

// Guards against lost, foreign and mixed results, and against answers that break off.
test('every done answer is the expected one, and only killed entry VMs break connections', () => {
	expect(results.filter(({outcome, answer, expected}) => outcome === 'done' && answer !== expected)).toEqual([]);
	const runKeys = new Set(runs.map(run => run.key));
	expect(results.filter(({outcome, key}) => outcome === 'done' && key !== undefined && !runKeys.has(key))).toEqual([]);
	// Requests that find no process behind the port of a killed entry VM are broken as well.
	expect(results.filter(({outcome, incarnation}) => outcome === 'broken' && !record.killed.has(incarnation))).toEqual([]);
});

// Guards against lost, repeated and misplaced chunks, and streams without an end.
test('every stream has each chunk once, in order, and an end', () => {
	for (const {events = [], expected, incarnation, outcome} of results.filter(({kind}) => kind === 'stream')) {
		const chunks = events.filter(({event}) => event === 'chunk');
		expect(chunks.map(({data}) => data.index)).toEqual(chunks.map((_, index) => index));
		const text = chunks.map(({data}) => data.text as string).join('');
		expect(outcome === 'done' ? text : expected.slice(0, text.length)).toBe(outcome === 'done' ? expected : text);
		if (!record.killed.has(incarnation) && events.length > 0) {
			expect(['answer', 'error']).toContain(events.at(-1)!.event);
		}
	}
});

// Guards against a change that is accepted and lost or reverted, and against a false conflict.
test('accepted changes are in force at all processes and revisions only grew', async () => {
	for (const revisions of seen.values()) {
		expect(revisions).toEqual(revisions.toSorted((a, b) => a - b));
	}

	const accepted = changes.filter(({result}) => result === 'accepted').map(({key}) => key);
	const lost = changes.filter(({result}) => ['conflict', 'invalid', 'unavailable'].includes(result)).map(({key}) => key);
	expect(accepted.length).toBeGreaterThan(0);
	for (const name of fleet.vms.keys()) {
		expect((await callVm(name, 'Get', {keys: accepted})).missing ?? []).toEqual([]);
		expect(((await callVm(name, 'Get', {keys: lost})).missing as string[]).toSorted()).toEqual(lost.toSorted());
	}
});

// Guards against work for a target that the platform's list has called leaving for 3 s.
test('draining targets got no late work', () => {
	expect(record.lateRuns).toEqual([]);
});
