import {randomUUID} from 'node:crypto';
import {createServer} from 'node:http';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {SystemClock} from '../clock/index.js';
import type {Declaration} from '../config/index.js';
import {EntryVm} from '../entry-vm/index.js';
import {closeServer, listen as listenOn, sendJson} from '../http/index.js';
import {createLoggerFactory} from '../logging/index.js';
import {MemoryPlatformLog} from '../platform-log/index.js';
import {MemoryVmList} from '../vms/index.js';
import {EngineStandIn, ServiceStandIn} from '../stand-ins/index.js';
import {createDeployment} from './deployment.js';
import {makeTrace} from './make-trace.js';
import {replayOverHttp} from './replay-over-http.js';

const clock = SystemClock.create();
const listen = {host: '127.0.0.1', port: 0};
let engine: EngineStandIn;
let service: ServiceStandIn;
let vm: EntryVm;

function withAddresses(): Declaration[] {
	const {declarations} = createDeployment('fundacion');
	const engines = new Set(declarations.filter(entry => entry.kind === 'pool' && entry.type === 'engine').map(entry => entry.name));
	return declarations.map(entry => entry.kind === 'target' ? {...entry, address: engines.has(entry.pool) ? engine.origin : service.origin} : entry);
}

beforeEach(async () => {
	engine = await EngineStandIn.create({clock, listen, startId: 'e1'});
	service = await ServiceStandIn.create({clock, listen, startId: 's1'});
	const log = MemoryPlatformLog.create({clock});
	await log.append('config', [{
		kind: 'change', id: randomUUID(), base: -1, author: 'test', set: withAddresses(),
	}]);
	vm = await EntryVm.create({
		name: 'heredia-1', zone: 'heredia-a', callers: listen, operators: listen, maxBodyBytes: 1_048_576, weightGbPerSecond: 2,
		eventCapacity: 100, clock, log, vmList: MemoryVmList.create({clock}), createLogger: createLoggerFactory({process: 'test', level: 'error'}),
	});
	await expect.poll(() => vm.config.current().revision, {timeout: 30_000}).toBeGreaterThanOrEqual(0);
});

afterEach(async () => {
	await vm.shutdown();
	await Promise.all([engine.close(), service.close()]);
});

function idempotentTrace(rate: number) {
	const trace = makeTrace({
		name: 'alone', deployment: 'fundacion', seed: 2, durationMs: 1500, rate,
	});
	return {...trace, requests: trace.requests.filter(request => request.key === undefined)};
}

// Guards against a replay over HTTP that sends requests, reads streams or checks answers wrongly.
test('a replay over HTTP gets a complete answer to every request from a running entry VM', async () => {
	const trace = idempotentTrace(5);
	const report = await replayOverHttp(trace, {clock, entryVms: [`http://127.0.0.1:${vm.callerPort}`]});
	expect(trace.requests.length).toBeGreaterThan(10);
	expect(report).toMatchObject({
		requests: trace.requests.length, attainment: 1, wrongAnswers: 0, late: 0,
	});
	expect(report.teams[0]!.firstTokenP95).toBeGreaterThan(0);
});

// Guards against counting requests without an answer as attained.
test('requests that end without an answer count as rejections', async () => {
	service.setFaults({mismatch: 1000});
	const report = await replayOverHttp(idempotentTrace(1), {clock, entryVms: [`http://127.0.0.1:${vm.callerPort}`]});
	expect(report.attainment).toBe(0);
	expect(report.rejections.map(entry => entry.reason)).toEqual(['answer_mismatch']);
});

// Guards against counting answers as correct without comparing them with the expected answer.
test('a wrong answer is detected', async () => {
	const server = createServer((_req, res) => {
		sendJson(res, 200, {outcome: 'done', answer: 'another answer'});
	});
	const port = await listenOn(server, listen);
	const trace = idempotentTrace(1);
	const report = await replayOverHttp(trace, {clock, entryVms: [`http://127.0.0.1:${port}`]});
	await closeServer(server);
	expect(report).toMatchObject({attainment: 0, wrongAnswers: trace.requests.length});
});
