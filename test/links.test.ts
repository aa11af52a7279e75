import {once} from 'node:events';
import {request} from 'undici';
import {
	afterEach, beforeEach, expect, test,
} from 'vitest';
import {WebSocket} from 'ws';
import {sampleDeclarations} from '../src/cli/sample.js';
import {Handshake} from '../src/links/handshake.js';
import {LinkKey} from '../src/links/index.js';
import {Daemon} from './support/daemon.js';
import {
	Fleet, get, linkPort, peersOf, pipelineUrl, post, rpc, until,
} from './support/fleet.js';
import {TcpProxy} from './support/tcp-proxy.js';

let fleet: Fleet;
let proxies: TcpProxy[];

beforeEach(async () => {
	fleet = await Fleet.start();
	proxies = [];
});

afterEach(async () => {
	await fleet.close();
	await Promise.all(proxies.map(async proxy => proxy.close()));
});

async function startProxy(port: number): Promise<number> {
	const proxy = await TcpProxy.start(port);
	proxies.push(proxy);
	return proxy.port;
}

async function areLive(vm: Daemon, ...names: string[]): Promise<boolean> {
	const peers = await peersOf(vm);
	return names.every(name => peers[name] === 'live');
}

async function linkEvents(vm: Daemon, target: string): Promise<string[]> {
	const {events = []} = await rpc(vm, 'Trace', {target}) as {events?: Array<{kind: string; process: string; detail: string}>};
	return events.filter(event => event.kind === 'link_state').map(event => `${event.process} ${event.detail}`);
}

async function publishSample(serviceMs = 5): Promise<void> {
	const flags = ['--service-ms', String(serviceMs)];
	const [encoder, retriever, reranker, engine] = await Promise.all([
		fleet.startTarget('encoder', 'service', flags), fleet.startTarget('retriever', 'service'), fleet.startTarget('reranker', 'service'), fleet.startTarget('engine', 'engine'),
	]);
	await fleet.publish(sampleDeclarations({
		encoder: encoder.origin, retriever: retriever.origin, reranker: reranker.origin, engine: engine.origin,
	}));
}

// Guards against a half-open link that stays in use: its sockets are open but deliver nothing, while new connections work.
test('a silent link is detected and replaced', async () => {
	// Either end may have opened the connection, so both addresses are those of proxies.
	const [a, b] = [await fleet.startLinkedVm('riga-1', 'riga-a', {proxy: startProxy}), await fleet.startLinkedVm('riga-2', 'riga-a', {proxy: startProxy})];
	await until(async () => await areLive(a, 'riga-2') && areLive(b, 'riga-1'), 'the link');
	const accepted = () => proxies.reduce((sum, proxy) => sum + proxy.acceptedCount, 0);
	const before = accepted();
	for (const proxy of proxies) {
		proxy.silenceOpenConnections();
	}

	await until(async () => {
		// The first end to detect the silence closes the link; the other end only sees a closed connection.
		const ends = [{name: 'riga-1', events: await linkEvents(a, 'riga-2')}, {name: 'riga-2', events: await linkEvents(b, 'riga-1')}];
		return ends.some(({name, events}) => {
			const silent = events.findIndex(event => event.startsWith(`${name} silent`));
			return silent !== -1 && events.slice(silent).some(event => event.startsWith(`${name} up`));
		});
	}, 'a new link');
	expect(accepted()).toBeGreaterThan(before);
	await until(async () => await areLive(a, 'riga-2') && areLive(b, 'riga-1'), 'the new link at both ends');
});

// Guards against an unauthenticated peer that gets a response, joins the mesh or disturbs existing links.
test('a peer with a wrong key cannot join and does not affect existing links', async () => {
	const [a, b] = [await fleet.startLinkedVm('riga-1', 'riga-a'), await fleet.startLinkedVm('riga-2', 'riga-a')];
	const unauthorized = await fleet.startLinkedVm('riga-3', 'riga-a', {key: 'another key of the tests', flags: ['--peers', `riga-1@127.0.0.1:${linkPort(a)}`], isListed: false});
	await until(async () => areLive(a, 'riga-2'), 'the link');
	const upEvents = await linkEvents(a, 'riga-2');
	const hello = Handshake.create({role: 'client', key: LinkKey.create('another key of the tests'), self: {name: 'riga-2', zone: 'riga-a', incarnation: 'fake'}}).start();
	for (const bytes of [hello, new Uint8Array(3000), new Uint8Array([0xC1])]) {
		const socket = new WebSocket(`ws://127.0.0.1:${linkPort(a)}/links`);
		const received: unknown[] = [];
		socket.on('message', data => received.push(data));
		socket.on('error', () => undefined);
		await once(socket, 'open');
		socket.send(bytes);
		await once(socket, 'close');
		expect(received).toEqual([]);
	}

	await until(() => a.stderr.includes('Refused a connection.'), 'the log line');
	expect(await peersOf(a)).toEqual({'riga-2': 'live'});
	expect(await peersOf(b)).toEqual({'riga-1': 'live'});
	expect(await linkEvents(a, 'riga-2')).toEqual(upEvents);
	expect(Object.values(await peersOf(unauthorized))).not.toContain('live');
	expect(a.stderr + b.stderr + unauthorized.stderr).not.toMatch(/key of the (process )?tests/);
});

// Guards against a zone that stops serving when it is isolated, and against links that are not restored afterwards.
test.each(['silence', 'cut'] as const)('a zone isolated by %s keeps serving and rejoins', async mode => {
	await publishSample();
	const riga = [await fleet.startLinkedVm('riga-1', 'riga-a'), await fleet.startLinkedVm('riga-2', 'riga-a')];
	// All connections between the zones pass through proxies: the listed address of limon-1, and its configured peers.
	const peers = await Promise.all(riga.map(async (vm, index) => `riga-${index + 1}@127.0.0.1:${await startProxy(linkPort(vm))}`));
	const limon = await fleet.startLinkedVm('limon-1', 'limon-a', {proxy: startProxy, flags: ['--peers', peers.join(',')]});
	await fleet.untilReady();
	const areLinked = async () => await areLive(limon, 'riga-1', 'riga-2') && await areLive(riga[0]!, 'limon-1', 'riga-2') && areLive(riga[1]!, 'limon-1', 'riga-1');
	await until(areLinked, 'links across zones');
	for (const proxy of proxies) {
		proxy.setMode(mode);
	}

	await until(async () => {
		const states = [await peersOf(limon), await peersOf(riga[0]!), await peersOf(riga[1]!)];
		return states[0]!['riga-1'] === 'suspect' && states[0]!['riga-2'] === 'suspect' && states[1]!['limon-1'] === 'suspect' && states[2]!['limon-1'] === 'suspect';
	}, 'the loss of the links between zones');
	expect(await peersOf(riga[0]!)).toMatchObject({'riga-2': 'live'});
	for (const vm of [...riga, limon]) {
		const {status} = await post(pipelineUrl(vm, 'advice'), {team: 'apprentices', input: {text: 'x'}});
		expect(status).toBe(200);
	}

	for (const proxy of proxies) {
		proxy.setMode('forward');
	}

	await until(areLinked, 'links across zones after the isolation');
});

// Guards against an entry VM that cannot get the configuration while the log is down, and against draining states that are
// not propagated to other zones.
test('configuration and draining states are propagated between entry VMs', async () => {
	await publishSample();
	const riga = await fleet.startLinkedVm('riga-1', 'riga-a');
	const limon = await fleet.startLinkedVm('limon-1', 'limon-a');
	await fleet.untilReady();
	await until(async () => await areLive(riga, 'limon-1') && areLive(limon, 'riga-1'), 'links across zones');
	await post(`${fleet.targets.get('encoder')!.origin}/faults`, {draining: true});
	await post(pipelineUrl(riga, 'advice'), {team: 'apprentices', input: {text: 'x'}, deadline_ms: 500});
	await until(async () => (await rpc(limon, 'Status', {})).targets.draining === 1, 'the draining state in the other zone');
	await fleet.log.kill();
	const late = await fleet.startLinkedVm('riga-2', 'riga-a');
	await until(async () => (await request(`http://127.0.0.1:${late.ports.operators}/ready`)).statusCode === 200, 'readiness without a log');
});

// Guards against a minted key whose request runs at an incarnation other than its minter, runs twice, or is answered with
// `not_run` after it was sent.
test('a minted key runs once at its incarnation and is unknown after that is killed', async () => {
	await publishSample(1500);
	const [a, b] = [await fleet.startLinkedVm('riga-1', 'riga-a'), await fleet.startLinkedVm('limon-1', 'limon-a')];
	await fleet.untilReady();
	await until(async () => await areLive(a, 'limon-1') && areLive(b, 'riga-1'), 'links');
	const mint = async () => (await post(`http://127.0.0.1:${b.ports.callers}/v1/keys`, {})).body as {key: string; not_after_ms: number};
	const body = (key: string) => ({
		team: 'apprentices', input: {text: 'x'}, non_idempotent: true, idempotency: {key},
	});
	const first = await mint();
	const [here, there] = await Promise.all([post(pipelineUrl(a, 'advice'), body(first.key)), post(pipelineUrl(b, 'advice'), body(first.key))]);
	expect([here.status, there.status]).toEqual([200, 200]);
	expect(here.body.answer).toBe(there.body.answer);
	const runs = await rpc(a, 'Trace', {team: 'apprentices'}) as {events: Array<{kind: string; process: string; stage: string}>};
	const sent = runs.events.filter(event => event.kind === 'attempt_sent' && event.stage === 'encode');
	expect(sent.map(event => event.process)).toEqual(['limon-1']);

	const second = await mint();
	const pending = post(pipelineUrl(a, 'advice'), body(second.key));
	await until(async () => (await rpc(b, 'Status', {})).requestsInProgress === 1, 'the forwarded request');
	await b.kill();
	expect((await pending).body).toMatchObject({outcome: 'unknown', reason: 'claimer_unknown'});
	const retry = await post(pipelineUrl(a, 'advice'), body(second.key));
	expect(retry.body).toMatchObject({outcome: 'unknown', reason: 'minter_gone'});
});

// Guards against a timeline that omits processes without naming them, against gateways that do not forward requests with
// minted keys, and against digests that are sent to other zones.
test('gateways forward minted keys and events, and unresponsive processes are named', async () => {
	await publishSample();
	const riga = [await fleet.startLinkedVm('riga-1', 'riga-a'), await fleet.startLinkedVm('riga-2', 'riga-a'), await fleet.startLinkedVm('riga-3', 'riga-a')];
	const limon = [await fleet.startLinkedVm('limon-1', 'limon-a'), await fleet.startLinkedVm('limon-2', 'limon-a'), await fleet.startLinkedVm('limon-3', 'limon-a')];
	await fleet.untilReady();
	const all = [...riga, ...limon];
	const processes = async (vm: Daemon) => {
		const trace = await rpc(vm, 'Trace', {limit: 20_000}) as {events: Array<{process: string}>; missingProcesses?: string[]};
		return {seen: new Set(trace.events.map(event => event.process)).size, missing: trace.missingProcesses ?? []};
	};

	for (const vm of all) {
		await until(async () => {
			const {seen, missing} = await processes(vm);
			return seen === 6 && missing.length === 0;
		}, 'events of all processes');
	}

	// The route, direct or through gateways, depends on the current links; forward-service.test.ts tests each route.
	for (const [from, to] of riga.flatMap(vm => limon.map(other => [vm, other] as const))) {
		const {body: {key}} = await post(`http://127.0.0.1:${to.ports.callers}/v1/keys`, {});
		const result = await post(pipelineUrl(from, 'advice'), {
			team: 'apprentices', input: {text: 'x'}, non_idempotent: true, idempotency: {key},
		});
		expect(result.body.outcome).toBe('done');
	}

	const traced = await Daemon.start(['trace', '--json', '--team', 'apprentices', '--vm', `http://127.0.0.1:${riga[0]!.ports.operators}`]);
	expect((traced.firstMessage.events as Array<{team: string}>).every(event => event.team === 'apprentices')).toBe(true);
	expect(traced.firstMessage.events).not.toEqual([]);

	limon[2]!.pause();
	for (const vm of riga) {
		await until(async () => (await processes(vm)).missing.includes('limon-3'), 'the paused process among the missing ones');
	}

	limon[2]!.resume();
	const metrics = await Promise.all(all.map(async vm => (await request(`http://127.0.0.1:${vm.ports.operators}/metrics`)).body.text()));
	expect(metrics.some(text => text.includes('guavamill_link_bytes_total{direction="sent",cause="summary"'))).toBe(true);
	expect(metrics.every(text => !text.includes('cause="digest",distance="other'))).toBe(true);
});

// Guards against mistaking a replaced VM for its previous incarnation, and against keeping a removed VM as a peer.
test('a replaced VM joins with its new incarnation and a removed one is no longer a peer', async () => {
	const a = await fleet.startLinkedVm('riga-1', 'riga-a');
	const old = await fleet.startLinkedVm('riga-2', 'riga-a');
	await until(async () => areLive(a, 'riga-2'), 'the link');
	await old.kill();
	const replaced = await fleet.startLinkedVm('riga-2', 'riga-a');
	await until(async () => (await linkEvents(a, 'riga-2')).includes(`riga-1 up, incarnation ${replaced.firstMessage.incarnation as string}`), 'the new incarnation');
	await fleet.removeFromVmList('riga-2');
	await replaced.stop();
	await until(async () => Object.keys(await peersOf(a)).length === 0, 'the removal');
	expect(await get(`http://127.0.0.1:${a.ports.callers}/live`)).toEqual({live: true});
});
