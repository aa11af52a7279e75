// Engines break off some of their answers, which have no length, with a reset: right after a part of the body.
import {setTimeout as sleep} from 'node:timers/promises';
import {Engine} from '../lib/engine.mjs';
import {
	desiredState, Entry, headersOf, route, runCase, waitUntil,
} from '../lib/fleet.mjs';
import {sendExactly} from '../lib/requester.mjs';
import {Store} from '../lib/store.mjs';

const spanMs = 20_000;
const requestsPerSecond = 45;
/** Engines differ in speed; the faster ones get most requests. */
const workMs = {fast: 15, slow: 30, spread: 10};
/** Share of the answers of two of four engines that are spoiled. */
const spoiledShare = 0.05;
const spoiledEngines = new Set(['d-1', 'd-2']);
const bodyBytes = 800;

const bodyOf = id => `${id} `.repeat(bodyBytes).slice(0, bodyBytes);

await runCase(import.meta.dirname, async ({trouble, record, closers, startVm}) => {
	const store = await Store.start();
	closers.push(() => {
		store.close();
	});
	const answered = {
		'd-1': 0, 'd-2': 0, 'd-3': 0, 'd-4': 0,
	};
	const spoiled = new Set();
	const answer = (request, res, engine) => {
		setTimeout(() => {
			const number = ++answered[engine.id];
			const isUnframed = number % Math.round(1 / spoiledShare) === 0 && spoiledEngines.has(engine.id);
			const body = bodyOf(request.id);
			if (!isUnframed) {
				res.writeHead(200, {...engine.headers(request), 'content-length': body.length});
				res.end(body);
				return;
			}

			// The answer ends with its channel. Its bytes and the reset follow each other at once, as at the end of a process.
			const {socket} = res;
			const head = Object.entries(engine.headers(request)).map(([name, value]) => `${name}: ${value}\r\n`);
			socket.write(`HTTP/1.1 200 OK\r\n${head.join('')}connection: close\r\n\r\n${trouble ? body.slice(0, bodyBytes / 2) : body}`);
			if (trouble) {
				spoiled.add(request.id);
				socket.resetAndDestroy();
			} else {
				socket.end();
			}
		}, (spoiledEngines.has(engine.id) ? workMs.fast : workMs.slow) + (Math.random() * workMs.spread));
	};

	for (const id of Object.keys(answered)) {
		const engine = await Engine.start({
			id, service: 'order-desk', slots: 6, handle: answer,
		});
		engine.register(store);
		closers.push(() => {
			engine.close();
		});
	}

	store.put('keyed.op', 'config', desiredState(1, [route('die-status'), route('strike-book', {kind: 'unsafe', 'max-attempts': 1})]));
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
	const counts = {whole: 0, failed: 0, mixed: 0};
	const tries = [];
	const endMs = Date.now() + spanMs;
	for (let number = 0; Date.now() < endMs; number++) {
		const name = number % 2 === 0 ? 'strike-book' : 'die-status';
		const vm = entry.choose();
		const headers = headersOf({connection: 'close'});
		const id = headers['x-guavamill-attempt-id'];
		tries.push((async () => {
			const {status, head, body, isReset} = await sendExactly({
				host: vm.options.ip, port: vm.options.ports.front, method: 'POST', path: `/${name}/1`, body: 'what is asked', headers, timeoutMs: 2500,
			});
			const isSuccess = status === 200 && head.includes('x-guavamill-response-stamp') && !isReset;
			if (isSuccess && body !== bodyOf(id)) {
				counts.mixed++;
				record(`${name} ${id} at ${vm.name}: a success with an orderly end and ${body.length} of ${bodyBytes} bytes`);
			} else if (isSuccess) {
				counts.whole++;
			} else {
				counts.failed++;
				record(`${name} ${id} at ${vm.name}: ${status}${isReset ? ', reset' : ''}`);
			}
		})());
		await sleep(1000 / requestsPerSecond);
	}

	await Promise.all(tries);
	record(`answers that engines broke off with a reset: ${spoiled.size}; requests with a whole answer: ${counts.whole}; failed: ${counts.failed}; successes with a part of the body: ${counts.mixed} (allowed: 0)`);
	if (vms.some(vm => vm.ownEnd !== undefined)) {
		throw new Error('a process ended by itself');
	}

	return counts.mixed === 0;
});
