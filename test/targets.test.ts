import {setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {streamedText, streamEvents} from './support/event-stream.js';
import {
	type Fleet,
	get, pipelineUrl, post, until,
} from './support/fleet.js';
import {expectedSampleAnswer, startSampleFleet} from './support/sample-fleet.js';

/** Time after which a draining target must not receive new work. The requirement is "a few seconds". */
const drainLimitMs = 3000;

let fleet: Fleet;

beforeEach(async () => {
	fleet = await startSampleFleet();
});

afterEach(async () => {
	await fleet.close();
});

async function runs(target: string): Promise<number> {
	return (await get(`${fleet.targets.get(target)!.origin}/runs`)).runs.length as number;
}

async function setFaults(target: string, body: Record<string, unknown>): Promise<void> {
	await post(`${fleet.targets.get(target)!.origin}/faults`, body);
}

const url = () => pipelineUrl(fleet.entryVms[0]!, 'advice');
const body = (text: string, tokens = 40) => ({team: 'apprentices', input: {text}, max_tokens: tokens});

async function streamMany(count: number, tokens: number, during: () => Promise<void>): Promise<void> {
	let started = 0;
	const calls = Array.from({length: count}, async (_, index) => {
		let seen = false;
		const events = await streamEvents(url(), body(`question ${index}`, tokens), event => {
			if (event.event === 'chunk' && !seen) {
				seen = true;
				started++;
			}
		});
		expect(events.at(-1)).toMatchObject({event: 'answer', data: {outcome: 'done'}});
		expect(streamedText(events)).toBe(expectedSampleAnswer(`question ${index}`, tokens));
		expect(events.at(-1)!.data.answer).toBe(expectedSampleAnswer(`question ${index}`, tokens));
	});
	await until(() => started === count, 'every stream to start');
	await during();
	await Promise.all(calls);
}

// Guards against chunks that are lost, repeated or mixed up between streams when open connections stop delivering data
// while new connections work.
test('streams on half-open connections are resumed completely on new connections', async () => {
	await streamMany(8, 200, async () => {
		await setFaults('engines-1', {half_open: true});
		await setFaults('engines-2', {half_open: true});
	});
});

// Guards against streams that are lost when their engine is killed.
test('streams of a killed engine are resumed at another', async () => {
	await streamMany(8, 200, async () => fleet.targets.get('engines-1')!.kill());
});

// Guards against streams that hang on an engine that is paused with its connections open.
test('streams of a paused engine are resumed at another', async () => {
	await streamMany(8, 200, async () => {
		fleet.targets.get('engines-1')!.pause();
	});
});

// Guards against the delivery of answers that are truncated, failed, dropped or belong to another request.
test('faulty answers are retried and never delivered', async () => {
	await setFaults('engines-1', {truncate: 3, truncate_after: 5, fail: 1});
	await setFaults('engines-2', {truncate: 3, truncate_after: 7});
	await setFaults('rerankers-1', {drop_answers: 2});
	await setFaults('rerankers-2', {mismatch: 2});
	const results = await Promise.all(Array.from({length: 12}, async (_, index) => ({index, result: await post(url(), body(`question ${index}`))})));
	for (const {index, result} of results) {
		if (result.status === 200) {
			expect(result.body.answer).toBe(expectedSampleAnswer(`question ${index}`, 40));
		} else {
			expect(result.body.outcome).toBe('unknown');
		}
	}

	expect(results.filter(({result}) => result.status === 200).length).toBeGreaterThanOrEqual(8);
});

async function expectNoNewWork(target: string): Promise<void> {
	await sleep(drainLimitMs);
	const before = await runs(target);
	for (let index = 0; index < 20; index++) {
		expect((await post(url(), body(`late ${index}`, 4))).status).toBe(200);
	}

	expect(await runs(target)).toBe(before);
}

// Guards against new work for a target whose draining is known only from the platform's VM list.
test('a target that the VM list marks as leaving gets no new work', async () => {
	await post(url(), body('warm', 4));
	const daemon = fleet.targets.get('engines-1')!;
	await post(`${fleet.platform.origin}/vms`, {
		id: 'vm-e1', zone: 'sample-a', role: 'target', address: new URL(daemon.origin).host, start_id: daemon.firstMessage.startId, state: 'leaving',
	});
	await expectNoNewWork('engines-1');
});

// Guards against new work for a target that reports itself as draining, and against a restarted target that gets none.
test('a draining target gets no new work until it is restarted', async () => {
	const daemon = fleet.targets.get('engines-1')!;
	await setFaults('engines-1', {draining: true});
	await expectNoNewWork('engines-1');
	await daemon.kill();
	await fleet.startTarget('engines-1', 'engine', ['--listen', new URL(daemon.origin).host]);
	await until(async () => {
		await Promise.all(Array.from({length: 4}, async (_, index) => post(url(), body(`again ${index}`, 20))));
		return await runs('engines-1') > 0;
	}, 'work for the restarted engine');
});
