// One entry VM has no way to the engines for new channels, while open ones live on: does it leave requests to its peers?
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from '../lib-2/caller.mjs';
import {
	desiredState, hasTrouble, requestHeaders, runCase,
} from '../lib-2/case.mjs';
import {Engine, stamped} from '../lib-2/engine.mjs';
import {EntryVm} from '../lib-2/entry-vm.mjs';
import {EngineProxy} from '../lib-2/engine-proxy.mjs';
import {Store} from '../lib-2/store.mjs';

const stableWindowMs = 4000;
const cutMs = 10_000;
const warmUpMs = 3000;
/** Requests of each kind by the sheet's rates, a second at each entry VM in all, and the deadline of each. */
const kinds = [
	{
		path: '/puxa400/', share: 19.29 / 43.32, deadlineMs: 6000, isPrompt: true,
	},
	{
		path: '/cufi501/', share: 12.8 / 43.32, deadlineMs: 6000, isPrompt: true,
	},
	{path: '/bobo563/', share: 8.02 / 43.32, deadlineMs: 2000},
	{path: '/wuhu344/', share: 3.21 / 43.32, deadlineMs: 2000},
];
const perSecond = 50;
/** Time to the first event of a stream: queueing and reading of the prompt. */
const firstTokenMs = 600;

async function answerStream({req, res, attemptId, engine}) {
	engine.run(attemptId);
	await sleep(firstTokenMs);
	res.writeHead(200, {...stamped(attemptId, engine.id), 'content-type': 'text/event-stream'});
	for (let id = 1; id <= 8 && !req.socket.destroyed; id++) {
		res.write(`id: ${id}\ndata: piece ${id}\n\n`);
		await sleep(20);
	}

	res.end();
}

async function answerDesk({res, attemptId, engine}) {
	engine.run(attemptId);
	await sleep(20);
	res.writeHead(200, {...stamped(attemptId, engine.id), 'content-length': 2});
	res.end('ok');
}

/** Returns the kind of a request by its number, by the shares. */
function kindOf(number) {
	let rest = (number * 0.618_034) % 1;
	return kinds.find(({share}) => {
		rest -= share;
		return rest < 0;
	}) ?? kinds[0];
}

await runCase(import.meta.dirname, async ({folder, ends, note}) => {
	const store = await Store.create();
	ends.push(() => store.close());
	const proxies = new Map();
	const engines = [];
	for (const [service, count, handle] of [['huvo11a', 4, answerStream], ['wuno96b', 3, answerDesk]]) {
		for (let index = 1; index <= count; index++) {
			const engine = await Engine.create({
				id: `i-${service}-${index}`, service, slots: service === 'huvo11a' ? 64 : 6, handle,
			});
			ends.push(() => engine.close());
			engines.push(engine);
			const proxy = await EngineProxy.create(engine.address);
			ends.push(() => proxy.close());
			proxies.set(engine.address, proxy);
			store.put('keyed.servers', engine.id, engine.entry());
		}
	}

	const beat = setInterval(() => {
		for (const engine of engines) {
			engine.sequence++;
			store.put('keyed.servers', engine.id, engine.entry());
		}
	}, 1200);
	ends.push(() => clearInterval(beat));
	const stream = {
		kind: 'streaming', service: 'huvo11a', 'timeout-ms': 6000, 'gap-target-ms': 200, 'session-affinity': true,
	};
	const desk = {service: 'wuno96b', 'timeout-ms': 1000, 'target-latency-ms': 200};
	store.put('keyed.op', 'config', desiredState(7, [
		{
			...stream, 'path-prefix': '/puxa400/', 'target-latency-ms': 1100, 'max-attempts': 2, 'stream-resume': true,
		},
		{
			...stream, 'path-prefix': '/cufi501/', 'target-latency-ms': 2500, 'max-attempts': 1, 'stream-resume': false,
		},
		{
			...desk, 'path-prefix': '/bobo563/', kind: 'unsafe', 'max-attempts': 1,
		},
		{
			...desk, 'path-prefix': '/wuhu344/', kind: 'safe', 'max-attempts': 2,
		},
	], [{name: 'huvo11a', engine: {slots: 64, 'kv-capacity': 425_277}}, {name: 'wuno96b'}]));
	/** The store as the entry VM sees it that is cut off: its way to each engine is a proxy. */
	const view = await store.openView(address => proxies.get(address).address);
	const vms = [];
	for (const [index, zone] of ['riga-a', 'liepaja-a', 'daugavpils-a'].entries()) {
		const vm = await EntryVm.start({
			name: `front-${zone}-1`, ip: `127.0.78.${index + 1}`, zone, store: index === 1 ? view : store.address, folder,
		});
		ends.push(() => vm.end('SIGKILL'));
		vms.push(vm);
	}

	const [, cutVm] = vms;
	await sleep(1500);
	const tries = [];
	let number = 0;
	const sending = setInterval(() => {
		for (const vm of vms) {
			const {path, deadlineMs, isPrompt} = kindOf(number++);
			const startedMs = Date.now();
			const reply = send({
				host: vm.ip, port: vm.port, path: `${path}2f`, method: path === '/wuhu344/' ? 'GET' : 'POST', body: path === '/wuhu344/' ? '' : 'body', timeoutMs: deadlineMs + 500, headers: requestHeaders(randomUUID(), deadlineMs, isPrompt
					? {
						'X-Guavamill-Model': 'm', 'X-Guavamill-Token-Count': '400,24', 'X-Guavamill-Prefix-Hash': `5c1e07a2:300,${randomUUID().slice(0, 8)}:100`,
					}
					: {}),
			});
			tries.push({
				vm, path, startedMs, reply,
			});
		}
	}, 1000 / perSecond);
	ends.push(() => clearInterval(sending));
	const readiness = [];
	const checking = setInterval(async () => {
		readiness.push(await cutVm.isReady());
	}, 1000);
	ends.push(() => clearInterval(checking));
	await sleep(warmUpMs);
	const cutAtMs = Date.now();
	if (hasTrouble) {
		note(`${cutVm.name} has no new channels to any engine from here on; its open ones live on`);
		for (const proxy of proxies.values()) {
			proxy.refuseNew();
		}
	}

	await sleep(cutMs);
	clearInterval(sending);
	clearInterval(checking);
	note(`/ready of ${cutVm.name}, each second: ${readiness.map(isReady => isReady ? 200 : 503).join(' ')}`);
	const counted = await Promise.all(tries.filter(({startedMs}) => startedMs >= cutAtMs + stableWindowMs).map(async each => ({...each, reply: await each.reply})));
	const isServed = ({reply}) => reply.status === 200 && reply.isComplete;
	for (const vm of vms) {
		for (const {path} of kinds) {
			const own = counted.filter(each => each.vm === vm && each.path === path);
			const statuses = [...new Set(own.map(({reply}) => reply.status))].map(status => `${own.filter(({reply}) => reply.status === status).length} x ${status || 'nothing'}`);
			note(`${vm.name} ${path}: ${own.filter(each => isServed(each)).length} of ${own.length} first tries served (${statuses.join(', ')})`);
		}
	}

	const at = counted.filter(({vm}) => vm === cutVm);
	const others = counted.filter(({vm}) => vm !== cutVm);
	const shareOf = list => list.filter(each => isServed(each)).length / list.length;
	const failed = at.filter(each => !isServed(each)).length;
	note(`from ${stableWindowMs} ms after the cut began: ${shareOf(at).toFixed(3)} of the first tries at ${cutVm.name} are served, ${shareOf(others).toFixed(3)} at the others; ${failed} fail there, ${10 + (counted.length / 50)} are allowed`);
	if (shareOf(others) < 0.9) {
		throw new Error('the other entry VMs serve too little');
	}

	return shareOf(at) < shareOf(others) * 2 / 3 && failed > 10 + (counted.length / 50)
		? [`first tries at ${cutVm.name} are served ${(shareOf(at) / shareOf(others)).toFixed(2)} times as often as at the others, and ${failed} fail there`]
		: [];
});
