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
	applyRandomChanges, planFaults, runFault, waitForRecovery, type OperatorChange, type FaultEffects,
} from './support/chaos-faults.js';
import {sendLoad, type LoadResult} from './support/chaos-load.js';
import {ZoneFleet} from './support/zone-fleet.js';

type Run = {request_id: string; key?: string};

const seed = Number(process.env.STORM_SEED ?? 20_261_204);
const faultPhaseMs = 40_000;
const deadlineMs = 5000;
const callerCount = 12;
const zones = ['riga-a', 'liepaja-a', 'daugavpils-a'];

let fleet: ZoneFleet;
let results: LoadResult[] = [];
let changes: OperatorChange[] = [];
/** Runs recorded by the booking services. */
let runs: Run[] = [];
/** Runs of the first stage of idempotent requests. Encoders are never killed, so their lists are complete. */
let encoderRuns: Run[] = [];
const effects: FaultEffects = {killed: new Set(), lateRuns: []};
/** Revisions reported by each incarnation, in polling order. */
const revisionsByIncarnation = new Map<string, number[]>();

beforeAll(async () => {
	fleet = await ZoneFleet.start({zones, engines: 2, deadlineMs});
	const random = Random.create(seed);
	const plan = planFaults(fleet, random, faultPhaseMs);
	console.log(`seed ${seed}:`, plan.map(fault => `${fault.startMs}+${fault.durationMs} ${fault.kind} ${fault.subject}`).join(', '));
	const loadEnd = new AbortController();
	const recovered = new AbortController();
	const polling = pollRevisions(recovered.signal);
	const operators = ['operator-1', 'operator-2'].map(async (name, index) => applyRandomChanges(fleet, {
		name, random: Random.create(seed + 100 + index), signal: loadEnd.signal, rpc: callVm,
	}));
	const load = Array.from({length: callerCount}, async (_, index) => sendLoad(fleet, Random.create(seed + 1 + index), loadEnd.signal));
	await Promise.all(plan.map(async fault => {
		await sleep(fault.startMs);
		await runFault(fleet, fault, effects);
	}));
	loadEnd.abort();
	results = (await Promise.all(load)).flat();
	changes = (await Promise.all(operators)).flat();
	await waitForRecovery(fleet, callVm);
	runs = [...await runsOf('strike-'), ...await runsOf('commission-')];
	encoderRuns = await runsOf('encoders-');
	await until(async () => (await statuses()).every(status => Number(status.revision) === Math.max(...[...revisionsByIncarnation.values()].flat())), 'the latest revision at every entry VM', 60_000);
	recovered.abort();
	await polling;
	printReport();
}, 240_000);

afterAll(async () => {
	await fleet.close();
});

async function runsOf(prefix: string): Promise<Run[]> {
	return (await Promise.all(fleet.targets(prefix).map(async ([, target]) => (await get(`${target.origin}/runs`)).runs as Run[]))).flat();
}

/** Calls the operator RPC of an entry VM; a paused entry VM responds after it is resumed. */
async function callVm(name: string, method: string, body: unknown): Promise<any> {
	return rpc(fleet.vms.get(name)!, method, body);
}

async function statuses(): Promise<any[]> {
	return Promise.all([...fleet.vms.keys()].map(async name => callVm(name, 'Status', {})));
}

/** Polls the entry VMs independently, so that a paused one does not delay the others. */
async function pollRevisions(signal: AbortSignal): Promise<void> {
	await Promise.all([...fleet.vms.keys()].map(async name => {
		while (!signal.aborted) {
			try {
				const {incarnation, revision} = await callVm(name, 'Status', {});
				revisionsByIncarnation.set(incarnation, [...revisionsByIncarnation.get(incarnation) ?? [], Number(revision)]);
			} catch {
				// The entry VM is being restarted.
			}

			await sleep(100);
		}
	}));
}

function printReport(): void {
	for (const kind of ['stream', 'plain', 'unkeyed', 'keyed', 'minted']) {
		const own = results.filter(result => result.kind === kind);
		const counts: Record<string, number> = {};
		for (const {outcome, reason} of own) {
			const name = reason === undefined ? outcome : `${outcome} ${reason}`;
			counts[name] = (counts[name] ?? 0) + 1;
		}

		const inTime = own.filter(({outcome, durationMs}) => outcome === 'done' && durationMs <= deadlineMs).length;
		console.log(`${kind}: attainment ${(100 * inTime / Math.max(1, own.length)).toFixed(1)} % of ${own.length}`, counts);
	}

	console.log(`${runs.length} booking runs, ${effects.killed.size} entry VMs killed, changes:`, countResults());
}

function countResults(): Record<string, number> {
	const counts: Record<string, number> = {};
	for (const {result} of changes) {
		counts[result] = (counts[result] ?? 0) + 1;
	}

	return counts;
}

function duplicatesIn(values: readonly string[]): string[] {
	const known = new Set<string>();
	return values.filter(value => known.size === known.add(value).size);
}

// Guards against a booking that runs twice when several faults coincide.
test('no key and no unkeyed request ran twice', () => {
	expect(runs.length).toBeGreaterThan(0);
	expect(duplicatesIn(runs.flatMap(run => run.key ?? []))).toEqual([]);
	expect(duplicatesIn(runs.map(run => run.request_id))).toEqual([]);
});

// Guards against a `not_run` answer to a request that ran.
test('every not_run answer is true', () => {
	const ran = new Set([...runs, ...encoderRuns].map(run => run.request_id));
	expect(results.filter(({kind}) => kind !== 'stream' && kind !== 'plain').some(({outcome}) => outcome === 'not_run')).toBe(true);
	expect(results.filter(({outcome, requestId}) => outcome === 'not_run' && ran.has(requestId!))).toEqual([]);
});

// Guards against results that are lost or belong to another request, and against answers that end early.
test('every done answer is the expected one, and only killed entry VMs break connections', () => {
	expect(results.filter(({outcome, answer, expected}) => outcome === 'done' && answer !== expected)).toEqual([]);
	const runKeys = new Set(runs.map(run => run.key));
	expect(results.filter(({outcome, key}) => outcome === 'done' && key !== undefined && !runKeys.has(key))).toEqual([]);
	// A request sent to the port of a killed entry VM before its restart is also broken.
	expect(results.filter(({outcome, incarnation}) => outcome === 'broken' && !effects.killed.has(incarnation))).toEqual([]);
});

// Guards against chunks that are lost, repeated or out of order, and against streams without a final event.
test('every stream has each chunk once, in order, and a final event', () => {
	for (const {events = [], expected, incarnation, outcome} of results.filter(({kind}) => kind === 'stream')) {
		const chunks = events.filter(({event}) => event === 'chunk');
		expect(chunks.map(({data}) => data.index)).toEqual(chunks.map((_, index) => index));
		const text = chunks.map(({data}) => data.text as string).join('');
		expect(outcome === 'done' ? text : expected.slice(0, text.length)).toBe(outcome === 'done' ? expected : text);
		if (!effects.killed.has(incarnation) && events.length > 0) {
			expect(['answer', 'error']).toContain(events.at(-1)!.event);
		}
	}
});

// Guards against an accepted change that is lost or reverted, and against a change that takes effect although the answer
// says that it did not.
test('accepted changes are in effect at all processes and revisions never decreased', async () => {
	for (const revisions of revisionsByIncarnation.values()) {
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

// Guards against new work for a target that the platform's VM list has marked as leaving for 3 s or longer.
test('draining targets got no new work after the limit', () => {
	expect(effects.lateRuns).toEqual([]);
});
