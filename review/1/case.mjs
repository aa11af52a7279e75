// An engine sends bytes that are no answer, without end, in the body of one of its answers: empty lines.
import {setTimeout as sleep} from 'node:timers/promises';
import {Engine} from '../lib/engine.mjs';
import {
	desiredState, Entry, headersOf, route, runCase, waitUntil,
} from '../lib/fleet.mjs';
import {Store} from '../lib/store.mjs';

const calmMs = 3000;
const spanMs = 20_000;
const requestsPerSecond = 50;
const streamShare = 0.2;
const workMs = 20;
const eventsPerAnswer = 8;
const eventMs = 20;
const emptyLines = '\r\n'.repeat(32_768);
/** Route timeouts, and the time after them by which the answer has to be there. */
const timeoutsMs = {'strike-book': 1000, 'spec-audit': 6000};
const slackMs = 500;
/** Requesters abandon a stream after a gap of four times its objective, also before its first event. */
const streamObjectiveMs = 1100;
const patienceMs = 4 * streamObjectiveMs;
/** From as many requests on, the rule counts those that last longer than their route's timeout. */
const minLate = 8;

/** Sends empty lines until the caller closes; returns the number of bytes so far when asked. */
function sendWithoutEnd(res) {
	let bytes = 0;
	const pump = () => {
		while (!res.destroyed) {
			bytes += emptyLines.length;
			if (!res.write(emptyLines)) {
				res.once('drain', pump);
				return;
			}
		}
	};

	pump();
	return () => bytes;
}

await runCase(import.meta.dirname, async ({trouble, record, closers, startVm}) => {
	const store = await Store.start();
	closers.push(() => {
		store.close();
	});
	let spoiledFromMs = Infinity;
	let bytesSent;
	const startEngine = async (id, service, slots, handle) => {
		const engine = await Engine.start({
			id, service, slots, handle,
		});
		engine.register(store);
		closers.push(() => {
			engine.close();
		});
	};

	const answerStream = (request, res, engine) => {
		const head = {...engine.headers(request), 'content-type': 'text/event-stream'};
		if (trouble && !bytesSent && Date.now() > spoiledFromMs) {
			// The body has neither a length nor chunks.
			res.useChunkedEncodingByDefault = false;
			res.writeHead(200, {...head, connection: 'close'});
			record(`${engine.id} answers ${request.id} with bytes without end`);
			bytesSent = sendWithoutEnd(res);
			res.on('close', () => {
				record(`the caller of ${engine.id} has closed after ${bytesSent()} bytes`);
			});
			return;
		}

		res.writeHead(200, head);
		let event = Number(request.headers['last-event-id'] ?? 0);
		const timer = setInterval(() => {
			event++;
			res.write(`id: ${event}\ndata: ${request.id}\n\n`);
			if (event >= eventsPerAnswer) {
				clearInterval(timer);
				res.end();
			}
		}, eventMs);
		res.on('close', () => {
			clearInterval(timer);
		});
	};

	const answerBooking = (request, res, engine) => {
		setTimeout(() => {
			res.writeHead(200, engine.headers(request));
			res.end('booked');
		}, workMs);
	};

	for (let number = 1; number <= 8; number++) {
		await startEngine(`i-${number}`, 'guava-engrave', 64, answerStream);
	}

	for (let number = 1; number <= 3; number++) {
		await startEngine(`d-${number}`, 'order-desk', 6, answerBooking);
	}

	store.put('keyed.op', 'config', desiredState(1, [
		route('spec-audit', {
			kind: 'streaming', 'stream-resume': true, service: 'guava-engrave', 'timeout-ms': timeoutsMs['spec-audit'], 'target-latency-ms': streamObjectiveMs, 'gap-target-ms': 200, 'session-affinity': true,
		}),
		route('strike-book', {kind: 'unsafe', 'max-attempts': 1, 'timeout-ms': timeoutsMs['strike-book']}),
	]));
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
	const counts = {sent: 0, late: 0, overdue: 0};
	const tries = [];
	const startedMs = Date.now();
	spoiledFromMs = startedMs + calmMs;
	for (let number = 0; Date.now() < startedMs + spanMs; number++) {
		const vm = entry.choose();
		const isStream = Math.floor((number + 1) * streamShare) > Math.floor(number * streamShare);
		const name = isStream ? 'spec-audit' : 'strike-book';
		const headers = headersOf(isStream
			? {
				'x-guavamill-deadline-ms': '7000', 'x-guavamill-model': 'm', 'x-guavamill-token-count': '1460,24', 'x-guavamill-prefix-hash': `5c1e07a${number % 8}:800,${(0xE4_00_00_00 + number).toString(16)}:250`,
			}
			: {});
		tries.push((async () => {
			const answered = await vm.request({
				method: 'POST', path: `/${name}/1`, body: 'what is asked', headers, timeoutMs: isStream ? patienceMs : Number(headers['x-guavamill-deadline-ms']),
			});
			const isSpoiled = isStream && answered.body.includes('\r\n');
			if (isSpoiled) {
				return;
			}

			counts.sent++;
			if (answered.tookMs > timeoutsMs[name]) {
				counts.late++;
				record(`${name} at ${vm.name}: ${answered.status} ${answered.error ?? ''} after ${answered.tookMs} ms`);
			}

			if (answered.tookMs > timeoutsMs[name] + slackMs) {
				counts.overdue++;
			}
		})());
		await sleep(1000 / requestsPerSecond);
	}

	await Promise.all(tries);
	record(`requests without the spoiled one: ${counts.sent}; unanswered at their route's timeout: ${counts.late}; of these without an answer ${slackMs} ms later: ${counts.overdue} (allowed: a half); processes that ended: ${vms.filter(vm => vm.ownEnd !== undefined).length}`);
	return !(counts.overdue >= minLate && counts.overdue > counts.late / 2);
});
