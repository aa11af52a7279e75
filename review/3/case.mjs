// A part of a prompt crashes each engine that begins to write an answer on it: right after the first event of the answer.
import {setTimeout as sleep} from 'node:timers/promises';
import {Engine} from '../lib/engine.mjs';
import {
	desiredState, Entry, headersOf, route, runCase, waitUntil,
} from '../lib/fleet.mjs';
import {Store} from '../lib/store.mjs';

const stableWindowMs = 4000;
const downMs = 3000;
/** Length and share of the deadly requests, as in the day of letter 7. */
const spanMs = 20_000;
const deadlyShare = 0.03;
const requestsPerSecond = 30;
const eventsPerAnswer = 8;
const eventMs = 20;
const deadlyPart = 'dead0001';

await runCase(import.meta.dirname, async ({trouble, record, closers, startVm}) => {
	const store = await Store.start();
	const engines = new Map();
	const crashes = [];
	const deadlyArrivals = [];
	closers.push(() => {
		store.close();
		for (const engine of engines.values()) {
			engine.close();
		}
	});

	const startEngine = async (id, port) => {
		const engine = await Engine.start({
			id, port, service: 'guava-engrave', slots: 64, handle: answer,
		});
		engines.set(id, engine);
		engine.register(store);
	};

	const crash = async engine => {
		if (engines.get(engine.id) !== engine || engine.isCrashed) {
			return;
		}

		engine.isCrashed = true;
		crashes.push(Date.now());
		record(`engine ${engine.id} crashes (${crashes.length})`);
		engine.close();
		await sleep(downMs);
		await startEngine(engine.id, engine.port);
	};

	/** Writes the events of the answer; with the deadly part, the engine ends after the first one. */
	const answer = (request, res, engine) => {
		const isDeadly = request.headers['x-guavamill-prefix-hash'].includes(deadlyPart);
		if (isDeadly) {
			deadlyArrivals.push(request);
			record(`${request.id} with the deadly part reaches ${engine.id}`);
		}

		res.writeHead(200, {...engine.headers(request), 'content-type': 'text/event-stream'});
		let event = Number(request.headers['last-event-id'] ?? 0);
		const timer = setInterval(() => {
			event++;
			res.write(`id: ${event}\ndata: ${request.id}\n\n`);
			if (isDeadly && trouble) {
				clearInterval(timer);
				setTimeout(() => {
					void crash(engine);
				}, 2);
			} else if (event >= eventsPerAnswer) {
				clearInterval(timer);
				res.end();
			}
		}, eventMs);
		res.on('close', () => {
			clearInterval(timer);
		});
	};

	for (let number = 1; number <= 8; number++) {
		await startEngine(`i-${number}`);
	}

	store.put('keyed.op', 'config', desiredState(1, [route('spec-audit', {
		kind: 'streaming', 'stream-resume': true, service: 'guava-engrave', 'timeout-ms': 6000, 'target-latency-ms': 1100, 'gap-target-ms': 200, 'session-affinity': true,
	})]));
	const vms = [];
	for (const name of ['front-1', 'front-2', 'front-3']) {
		vms.push(await startVm(name, {store: store.address}));
	}

	for (const vm of vms) {
		await waitUntil(() => vm.isReady(), `${vm.name} becomes ready`);
	}

	const entry = new Entry(vms);
	closers.push(() => {
		entry.close();
	});
	await sleep(2000);
	const results = {sound: {}, deadly: {}};
	const tries = [];
	const endMs = Date.now() + spanMs;
	for (let number = 0; Date.now() < endMs; number++) {
		const isDeadly = Math.floor((number + 1) * deadlyShare) > Math.floor(number * deadlyShare);
		const vm = entry.choose();
		tries.push((async () => {
			const answered = await vm.request({
				method: 'POST',
				path: '/spec-audit/1',
				body: `prompt ${number}`,
				headers: headersOf({
					'x-guavamill-deadline-ms': '6000', 'x-guavamill-model': 'm', 'x-guavamill-token-count': '1460,24', 'x-guavamill-prefix-hash': `5c1e07a${number % 4}:800,${isDeadly ? deadlyPart : `91bd3f0${number % 7}`}:410,${(0xE4_00_00_00 + number).toString(16)}:250`,
				}),
			});
			const counts = isDeadly ? results.deadly : results.sound;
			const key = answered.status + (answered.error ? ' broken off' : '');
			counts[key] = (counts[key] ?? 0) + 1;
		})());
		await sleep(1000 / requestsPerSecond);
	}

	await Promise.all(tries);
	const fifthMs = crashes[4];
	const late = deadlyArrivals.filter(({atMs}) => fifthMs !== undefined && atMs > fifthMs + stableWindowMs);
	record(`answers to sound requests: ${JSON.stringify(results.sound)}; to deadly ones: ${JSON.stringify(results.deadly)}`);
	record(`crashes: ${crashes.length}; deadly requests that reached engines: ${deadlyArrivals.length}; of these later than ${stableWindowMs} ms after the fifth crash: ${late.length} (allowed: 3)`);
	if (vms.some(vm => vm.ownEnd !== undefined)) {
		throw new Error('a process ended by itself');
	}

	return late.length <= 3;
});
