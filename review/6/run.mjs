// A stream without a length or chunks, of which the entry VM is killed: does the requester get an answer that looks complete?
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {send} from '../lib-2/caller.mjs';
import {
	desiredState, hasTrouble, requestHeaders, runCase,
} from '../lib-2/case.mjs';
import {Engine, stamped} from '../lib-2/engine.mjs';
import {EntryVm} from '../lib-2/entry-vm.mjs';
import {Store} from '../lib-2/store.mjs';

const events = 40;
const eventPauseMs = 100;
const streams = 8;
/** Time after the start of the streams at which the entry VM is killed. */
const killAfterMs = 1500;
const event = id => `id: ${id}\ndata: piece ${id}\n\n`;

/** The engine's answer: a stream of events with neither a length nor chunks, which ends with its channel. */
async function answer({req, res, attemptId, engine}) {
	engine.run(attemptId);
	res.useChunkedEncodingByDefault = false;
	res.writeHead(200, {...stamped(attemptId, engine.id), 'content-type': 'text/event-stream', connection: 'close'});
	for (let id = 1; id <= events && !req.socket.destroyed; id++) {
		res.write(event(id));
		await sleep(eventPauseMs);
	}

	res.end();
}

await runCase(import.meta.dirname, async ({folder, ends, note}) => {
	const store = await Store.create();
	ends.push(() => store.close());
	const engine = await Engine.create({id: 'i-7f3a91c2', service: 'huvo11a', handle: answer});
	ends.push(() => engine.close());
	store.put('keyed.op', 'config', desiredState(7, [{
		'path-prefix': '/puxa400/', kind: 'streaming', service: 'huvo11a', 'timeout-ms': 20_000, 'target-latency-ms': 2500, 'gap-target-ms': 200, 'stream-resume': false, 'session-affinity': true,
	}], [{name: 'huvo11a', engine: {slots: 64, 'kv-capacity': 425_277}}]));
	store.put('keyed.servers', engine.id, engine.entry());
	const vms = [];
	for (const [index, zone] of ['riga-a', 'liepaja-a', 'daugavpils-a'].entries()) {
		const vm = await EntryVm.start({
			name: `front-${zone}-1`, ip: `127.0.76.${index + 1}`, zone, store: store.address, folder,
		});
		ends.push(() => vm.end('SIGKILL'));
		vms.push(vm);
	}

	await sleep(1500);
	const [vm] = vms;
	const sending = Array.from({length: streams}, async () => {
		const attemptId = randomUUID();
		const reply = await send({
			host: vm.ip, port: vm.port, path: '/puxa400/2f', body: 'prompt', timeoutMs: 20_000, headers: requestHeaders(attemptId, 20_000, {'X-Guavamill-Model': 'm', 'X-Guavamill-Token-Count': '400,120', 'X-Guavamill-Prefix-Hash': '5c1e07a2:300,91bd3f06:100'}),
		});
		return {attemptId, ...reply};
	});
	await sleep(killAfterMs);
	if (hasTrouble) {
		note(`SIGKILL of ${vm.name}`);
		vm.signal('SIGKILL');
	}

	const replies = await Promise.all(sending);
	const whole = Array.from({length: events}, (_, index) => event(index + 1)).join('');
	for (const {attemptId, status, framing, headers, body, isComplete, end} of replies) {
		note(`${attemptId}: status ${status}, stamp ${headers['x-guavamill-response-stamp'] ?? 'none'}, ${framing} framing, ${body.split('\n\n').length - 1} of ${events} events, channel ${end}, ${isComplete ? 'complete' : 'incomplete'} by its framing; run ${engine.runs.filter(run => run.attemptId === attemptId).length} times`);
	}

	if (!hasTrouble && replies.some(({body, isComplete}) => !isComplete || body !== whole)) {
		throw new Error('a stream was not whole without a disruption');
	}

	return replies
		.filter(({status, isComplete, body}) => status === 200 && isComplete && body !== whole)
		.map(({attemptId, body}) => `${attemptId} got a success that ends as complete after ${body.split('\n\n').length - 1} of ${events} events, at the end of an event`);
});
