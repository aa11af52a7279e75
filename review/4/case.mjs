// One of three front machines is partitioned from all engines for some seconds.
import {setTimeout as sleep} from 'node:timers/promises';
import {Engine} from '../lib/engine.mjs';
import {
	desiredState, Entry, headersOf, route, runCase, waitUntil,
} from '../lib/fleet.mjs';
import {Partition} from '../lib/partition.mjs';
import {Store} from '../lib/store.mjs';

const stableWindowMs = 4000;
const calmMs = 2000;
const cutForMs = 12_000;
const requestsPerSecond = 15;
const workMs = 20;

await runCase(import.meta.dirname, async ({trouble, record, closers, startVm}) => {
	const store = await Store.start();
	const partition = new Partition('reset');
	closers.push(() => {
		store.close();
		partition.close();
	});
	for (const id of ['i-1', 'i-2', 'i-3']) {
		const engine = await Engine.start({
			id,
			service: 'order-desk',
			handle(request, res) {
				setTimeout(() => {
					res.writeHead(200, engine.headers(request));
					res.end(`answer to ${request.id}`);
				}, workMs);
			},
		});
		engine.options.announced = await partition.guard(engine.port);
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
	const [cutVm] = vms;
	const first = [];
	const tries = [];
	let cutMs;
	const startedMs = Date.now();
	for (let number = 0; Date.now() < startedMs + calmMs + cutForMs; number++) {
		if (cutMs === undefined && Date.now() >= startedMs + calmMs) {
			cutMs = Date.now();
			if (trouble) {
				partition.cut(cutVm.pid);
				record(`${cutVm.name} is cut off from all engines`);
			}
		}

		const vm = entry.choose();
		const sentMs = Date.now();
		const isBooking = number % 2 === 0;
		tries.push((async () => {
			const headers = headersOf();
			const answered = await vm.request({
				method: isBooking ? 'POST' : 'GET', path: isBooking ? '/strike-book/1' : `/die-status/${number}`, ...(isBooking ? {body: 'a strike'} : {}), headers, timeoutMs: 2500,
			});
			const isServed = answered.status === 200 && !answered.error && answered.body === `answer to ${headers['x-guavamill-attempt-id']}`;
			record(`${isBooking ? 'strike-book' : 'die-status'} at ${vm.name}: ${answered.status}${answered.error ? ` ${answered.error}` : ''}, ${answered.tookMs} ms`);
			if (cutMs !== undefined && sentMs > cutMs + stableWindowMs) {
				first.push({vm, isServed});
			}
		})());
		await sleep(1000 / requestsPerSecond);
	}

	await Promise.all(tries);
	const rateOf = list => list.filter(({isServed}) => isServed).length / Math.max(1, list.length);
	const atCut = first.filter(({vm}) => vm === cutVm);
	const atOthers = first.filter(({vm}) => vm !== cutVm);
	const failed = atCut.filter(({isServed}) => !isServed).length;
	record(`from ${stableWindowMs} ms after the cut began: first tries at ${cutVm.name}: ${atCut.length}, served ${rateOf(atCut).toFixed(2)}, failed ${failed}; at the others: ${atOthers.length}, served ${rateOf(atOthers).toFixed(2)}; allowed failures: ${(10 + (first.length / 50)).toFixed(1)}; readiness misses of ${cutVm.name}: ${entry.missesOf(cutVm)}`);
	return !(atCut.length > 0 && rateOf(atCut) < rateOf(atOthers) * 2 / 3 && failed > 10 + (first.length / 50));
});
