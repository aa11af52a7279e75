import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {
	afterAll, beforeAll, expect, test,
} from 'vitest';
import {
	Fleet,
	get, pipelineUrl, post, until,
} from './support/fleet.js';
import {expectedSampleAnswer, startSampleFleet} from './support/sample-fleet.js';

let fleet: Fleet;

beforeAll(async () => {
	fleet = await startSampleFleet({engineFlags: ['--decode-ms-per-token', '2', '--slots', '32']});
});

afterAll(async () => {
	await fleet.close();
});

async function openConnection(): Promise<Socket> {
	const socket = connect(fleet.entryVms[0]!.ports.callers, '127.0.0.1');
	socket.on('error', () => undefined);
	await once(socket, 'connect');
	return socket;
}

async function readReply(socket: Socket): Promise<string> {
	let text = '';
	socket.setEncoding('utf8').on('data', part => {
		text += String(part);
	});
	await once(socket, 'close');
	return text;
}

async function expectServing(): Promise<void> {
	const result = await post(pipelineUrl(fleet.entryVms[0]!, 'advice'), {team: 'apprentices', input: {text: 'well'}, max_tokens: 8});
	expect(result.body.answer).toBe(expectedSampleAnswer('well', 8));
}

const path = '/v1/pipelines/advice/requests';

// Guards against input that crashes or hangs the process or makes other requests fail.
test.each([
	['broken JSON', `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: 5\r\nconnection: close\r\n\r\n{"a":`, '400'],
	['a body that is no object', `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: 4\r\nconnection: close\r\n\r\nnull`, '400'],
	['too many header bytes', `POST ${path} HTTP/1.1\r\nhost: x\r\n${`x-a: ${'y'.repeat(1000)}\r\n`.repeat(40)}\r\n`, '431'],
	['a request that is not HTTP', 'hello there\r\n\r\n', '400'],
	['an announced body that is too large', `POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: 99999999\r\n\r\n`, '413'],
	['an unknown path', 'GET /nothing HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n', '404'],
])('%s gets an error status', async (_name, text, status) => {
	const socket = await openConnection();
	socket.write(text);
	expect(await readReply(socket)).toContain(`HTTP/1.1 ${status}`);
	await expectServing();
});

// Guards against work that continues for disconnected callers, and against buffering for callers that do not read.
test('callers that disconnect or never read do not affect other callers', async () => {
	const body = (stream: boolean) => JSON.stringify({
		team: 'apprentices', input: {text: 'x'.repeat(100)}, max_tokens: 2000, stream,
	});
	const sockets = await Promise.all(Array.from({length: 10}, async () => openConnection()));
	for (const [index, socket] of sockets.entries()) {
		const text = body(index % 2 === 0);
		socket.pause();
		socket.write(`POST ${path} HTTP/1.1\r\nhost: x\r\ncontent-length: ${text.length}\r\n\r\n${text}`);
	}

	await expectServing();
	for (const socket of sockets) {
		socket.destroy();
	}

	await until(async () => {
		const loads = await Promise.all(['engines-1', 'engines-2'].map(async name => get(`${fleet.targets.get(name)!.origin}/v1/load`)));
		return loads.every(load => load.inFlight === 0 && load.queued === 0);
	}, 'idle engines after their callers disconnected');
	await expectServing();
});

// Guards against a `not_run` answer to a retry that the caller applies to an earlier attempt, and against a misleading reason.
test('an entry VM without configuration distinguishes first attempts from declared retries', async () => {
	const empty = await Fleet.start();
	try {
		const vm = await empty.startEntryVm('vm-1', 'sample-a');
		const send = async (attempt: number) => post(pipelineUrl(vm, 'advice'), {
			team: 'apprentices', input: {text: 'x'}, non_idempotent: true, idempotency: {key: 'k', not_after_ms: 1, attempt},
		});
		expect((await send(1)).body).toMatchObject({outcome: 'not_run', reason: 'not_configured'});
		expect((await send(2)).body).toMatchObject({outcome: 'unknown', reason: 'earlier_attempt_unknown'});
	} finally {
		await empty.close();
	}
});
