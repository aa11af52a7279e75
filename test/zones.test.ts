import {randomUUID} from 'node:crypto';
import {
	afterAll, beforeAll, describe, expect, test,
} from 'vitest';
import type {Daemon} from './support/daemon.js';
import {
	get, peersOf, pipelineUrl, post, rpc, until,
} from './support/fleet.js';
import {ZoneFleet, expectedZoneAnswer} from './support/zone-fleet.js';

type Run = {request_id: string; key?: string};

const zones = ['riga-a', 'liepaja-a', 'daugavpils-a'];
const isolatedZone = 'liepaja-a';
const deadlineMs = 9000;
const requestsPerVm = 10;
const notAfterMs = Date.now() + 600_000;

// Guards against a zone that stops serving while it is isolated, against bookings that run twice or are answered falsely
// during the isolation, and against a change that is lost or reverted by it. `silence` keeps connections open without
// delivering data, `cut` closes them and refuses new ones.
describe.each(['silence', 'cut'] as const)('a zone isolated from the others and the platform by %s', mode => {
	let fleet: ZoneFleet;
	let inside: Daemon[];
	let outside: Daemon[];

	beforeAll(async () => {
		fleet = await ZoneFleet.start({zones, deadlineMs});
		inside = fleet.vmsOf(isolatedZone);
		outside = zones.filter(zone => zone !== isolatedZone).flatMap(zone => fleet.vmsOf(zone));
		for (const vm of [...inside, ...outside]) {
			// Only gateways have links to other zones; every entry VM has the link within its zone.
			await until(async () => Object.values(await peersOf(vm)).includes('live'), 'the links');
		}

		expect((await ask([...inside, ...outside])).every(answer => isExpected(answer))).toBe(true);
		fleet.isolate(isolatedZone, mode);
	});

	afterAll(async () => {
		await fleet.close();
	});

	test('serves idempotent requests with its own targets, as the other zones do', async () => {
		const answers = await ask([...inside, ...outside]);
		expect(answers.filter(answer => !isExpected(answer))).toEqual([]);
		const engines = fleet.targets('engines-');
		const foreign = engines.filter(([name]) => !name.includes(isolatedZone));
		const before = await Promise.all(foreign.map(async ([, engine]) => runsOf(engine)));
		const followUp = await ask(inside);
		expect(followUp.filter(answer => !isExpected(answer))).toEqual([]);
		const after = await Promise.all(foreign.map(async ([, engine]) => runsOf(engine)));
		expect(after.map(runs => runs.length)).toEqual(before.map(runs => runs.length));
		expect(followUp.flatMap(answer => answer.stages as Array<{target: string}>).every(stage => stage.target.includes(isolatedZone))).toBe(true);
	});

	test('rejects bookings by callers\' keys: first attempts not run, declared retries unknown', async () => {
		const [first, second] = inside as [Daemon, Daemon];
		await until(async () => (await rpc(first, 'Status', {})).configState === 'unreachable' && (await rpc(second, 'Status', {})).configState === 'unreachable', 'the outage in Status');
		const keys = Array.from({length: 6}, () => randomUUID());
		const firstAttempts = await Promise.all(keys.map(async key => book(first, key, 1)));
		expect(firstAttempts.map(({outcome}) => outcome)).toEqual(keys.map(() => 'not_run'));
		const retries = await Promise.all(keys.map(async key => book(second, key, 2)));
		expect(retries.map(({outcome}) => outcome)).toEqual(keys.map(() => 'unknown'));
		// Outside the isolated zone the keys are unclaimed; each runs there once, whatever the isolated zone answered.
		const others = await Promise.all(keys.map(async (key, index) => book(outside[index % outside.length]!, key, 3)));
		expect(others.map(({outcome}) => outcome)).toEqual(keys.map(() => 'done'));
		const runs = await bookings();
		expect(keys.map(key => runs.filter(run => run.key === key).length)).toEqual(keys.map(() => 1));
	});

	test('runs bookings with keys minted in the zone, with the same answer at its other entry VM', async () => {
		const [first, second] = inside as [Daemon, Daemon];
		for (const [minter, other] of [[first, second], [second, first]] as const) {
			const {body: {key}} = await post(`http://127.0.0.1:${minter.ports.callers}/v1/keys`, {});
			const result = await book(minter, key, 1);
			expect(result).toMatchObject({outcome: 'done', answer: expectedZoneAnswer('strike', `strike ${key}`, 0)});
			expect(await book(other, key, 2)).toMatchObject({outcome: 'done', answer: result.answer});
			expect((await bookings()).filter(run => run.key === key)).toHaveLength(1);
		}
	});

	test('does not apply outside changes, reports the outage, and applies them after the isolation', async () => {
		const before = await Promise.all(inside.map(async vm => rpc(vm, 'Status', {})));
		expect(before.map(status => status.configState)).toEqual(['unreachable', 'unreachable']);
		const result = await rpc(outside[0]!, 'Apply', {
			baseRevision: (await rpc(outside[0]!, 'Status', {})).revision, set: [team], author: 'test', changeId: randomUUID(),
		});
		expect(result).toHaveProperty('accepted');
		const revision = Number(result.accepted.revision);
		await until(async () => (await revisions(outside)).every(own => own >= revision), 'the change outside the isolated zone');
		const during = await Promise.all(inside.map(async vm => rpc(vm, 'Status', {})));
		expect(during.map(status => status.revision)).toEqual(before.map(status => status.revision));
		for (const [index, status] of during.entries()) {
			expect(status.logUnreachableMs).toBeGreaterThan(before[index].logUnreachableMs);
		}

		expect((await rpc(inside[0]!, 'Get', {keys: ['team/minters']})).missing).toEqual(['team/minters']);
		fleet.isolate(isolatedZone, 'forward');
		await until(async () => (await revisions([...inside, ...outside])).every(own => own >= revision), 'the change everywhere');
		for (const vm of [...inside, ...outside]) {
			expect((await rpc(vm, 'Get', {keys: ['team/minters']})).declarations).toEqual([team]);
		}

		await until(async () => (await Promise.all(inside.map(async vm => rpc(vm, 'Status', {})))).every(status => status.configState === 'following' && status.logUnreachableMs === 0), 'the log in Status');
		await until(async () => (await book(inside[0]!, randomUUID(), 1)).outcome === 'done', 'a booking after the isolation');
		expect((await ask([...inside, ...outside])).every(answer => isExpected(answer))).toBe(true);
	});

	async function ask(vms: readonly Daemon[]): Promise<any[]> {
		return Promise.all(vms.flatMap(vm => Array.from({length: requestsPerVm}, async (_, index) => {
			const {body} = await post(pipelineUrl(vm, 'advice'), {team: 'engravers', input: {text: `question ${index}`}, max_tokens: 20});
			return {...body, expected: expectedZoneAnswer('advice', `question ${index}`, 20)};
		})));
	}

	async function bookings(): Promise<Run[]> {
		return (await Promise.all(fleet.targets('strike-').map(async ([, target]) => runsOf(target)))).flat();
	}
});

const team = {
	kind: 'team', name: 'minters', weight: 3, priority: 5, deadline_ms: deadlineMs,
};

function isExpected(answer: {outcome: string; answer?: string; expected: string}): boolean {
	return answer.outcome === 'done' && answer.answer === answer.expected;
}

async function runsOf(target: Daemon): Promise<Run[]> {
	return (await get(`${target.origin}/runs`)).runs as Run[];
}

async function revisions(vms: readonly Daemon[]): Promise<number[]> {
	return Promise.all(vms.map(async vm => Number((await rpc(vm, 'Status', {})).revision)));
}

async function book(vm: Daemon, key: string, attempt: number): Promise<any> {
	const {body} = await post(pipelineUrl(vm, 'strike'), {
		team: 'engravers', input: {text: `strike ${key}`}, idempotency: key.startsWith('k1.') ? {key, attempt} : {key, not_after_ms: notAfterMs, attempt},
	});
	return body;
}
