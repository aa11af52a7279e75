// `npm run bench:claims`: measures the latency, the log appends and the memory that claims cost. Flags: --seconds 5 --seed 1.
import {Buffer} from 'node:buffer';
import process from 'node:process';
import {setFlagsFromString} from 'node:v8';
import {runInNewContext} from 'node:vm';
import {parseArgs} from 'node:util';
import {setTimeout as sleep} from 'node:timers/promises';
import * as hdr from 'hdr-histogram-js';
import {Pool} from 'undici';
import {ClaimTable} from '../src/claims/index.js';
import type {Declaration} from '../src/config/index.js';
import {Random} from '../src/random/index.js';
import {Fleet, get} from '../test/support/fleet.js';

const {values} = parseArgs({options: {seconds: {type: 'string', default: '5'}, seed: {type: 'string', default: '1'}}});
const seconds = Number(values.seconds);
const seed = Number(values.seed);
const ratesPerSecond = [10, 100, 1000];
const targetCount = 4;
const entryVmCount = 9;
const claimCount = 100_000;

type LoadResult = {readonly p50: number; readonly p99: number; readonly done: number; readonly failed: number; readonly appendsPerSecond: number};

function declarations(origins: readonly string[]): Declaration[] {
	return [
		{kind: 'zone', name: 'riga-a', region: 'Riga'},
		{
			kind: 'team', name: 'die-works', weight: 1, priority: 5, deadline_ms: 9000,
		},
		{
			kind: 'pool', name: 'ledger', type: 'service', prefill_ms_per_token: 0, decode_ms_per_token: 0, service_ms: 1, cost_per_second: 0, lookup: false,
		},
		...origins.map((address, index): Declaration => ({
			kind: 'target', name: `ledger-${index}`, zone: 'riga-a', pool: 'ledger', address, slots: 256, checks_fencing: false,
		})),
		{
			kind: 'pipeline',
			name: 'strike',
			deadline_ms: 9000,
			stages: [{
				name: 'book', kind: 'call', pool: 'ledger', idempotent: false,
			}],
		},
	];
}

async function countAppends(fleet: Fleet): Promise<number> {
	return (await get(`${fleet.log.origin}/appends`)).appends as number;
}

/**
 * Sends requests with exponentially distributed intervals, in turn to each entry VM. With `isKeyed`, each request has an
 * idempotency key, so that its call needs a claim.
 */
async function runLoad(fleet: Fleet, pools: readonly Pool[], options: {rate: number; isKeyed: boolean}): Promise<LoadResult> {
	const random = Random.create(seed);
	const latenciesUs = hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	const requestCount = Math.max(100, options.rate * seconds);
	const notAfterMs = Date.now() + 600_000;
	let failed = 0;
	const sendRequest = async (index: number) => {
		const startedAt = performance.now();
		const res = await pools[index % pools.length]!.request({
			method: 'POST',
			path: '/v1/pipelines/strike/requests',
			body: JSON.stringify({
				team: 'die-works', input: {text: `strike ${index}`}, ...(options.isKeyed ? {idempotency: {key: `${options.rate} ${index}`, not_after_ms: notAfterMs}} : {}),
			}),
		});
		const {outcome} = await res.body.json() as {outcome: string};
		failed += outcome === 'done' ? 0 : 1;
		latenciesUs.recordValue(Math.round((performance.now() - startedAt) * 1000));
	};

	const appendsBefore = await countAppends(fleet);
	const startedAt = performance.now();
	const pending: Array<Promise<void>> = [];
	let sendAt = startedAt;
	for (let index = 0; index < requestCount; index++) {
		sendAt += random.exponential(1000 / options.rate);
		await sleep(Math.max(0, sendAt - performance.now()));
		pending.push(sendRequest(index));
	}

	const sendingMs = performance.now() - startedAt;
	await Promise.all(pending);
	// Outcomes are appended in batches; this waits for the last batch.
	await sleep(200);
	return {
		p50: latenciesUs.getValueAtPercentile(50) / 1000, p99: latenciesUs.getValueAtPercentile(99) / 1000, done: requestCount - failed, failed, appendsPerSecond: (await countAppends(fleet) - appendsBefore) * 1000 / sendingMs,
	};
}

/** Measures the heap bytes per claim: open claims without `answerBytes`, else claims settled with an answer of that size. */
function bytesPerClaim(answerBytes: number | undefined): number {
	setFlagsFromString('--expose-gc');
	const collectGarbage = runInNewContext('gc') as () => void;
	collectGarbage();
	const before = process.memoryUsage().heapUsed;
	const table = ClaimTable.create({maxAnswerBytes: Number.POSITIVE_INFINITY});
	let offset = 0;
	for (let index = 0; index < claimCount; index++) {
		// Parsing the JSON for each record creates new strings, as reading records from the log does.
		const idsJson = JSON.stringify({key: `key-${index}`.padEnd(22, 'x'), claimId: `id-${index}`.padEnd(16, 'x'), incarnation: 'mabc1234abcdef123456'});
		const atMs = index;
		table.apply({
			offset: offset++, atMs, record: {
				...JSON.parse(idsJson) as object, kind: 'claim', notAfterMs: 900_000 + index, bodyHash: `body-${index}`.padEnd(22, 'x'),
			},
		});
		if (answerBytes !== undefined) {
			table.apply({
				offset: offset++, atMs, record: {
					...JSON.parse(idsJson) as object, kind: 'outcome', outcome: 'done', answer: Buffer.alloc(answerBytes, 'a').toString('latin1'),
				},
			});
		}
	}

	collectGarbage();
	const bytes = (process.memoryUsage().heapUsed - before) / table.size;
	return Math.round(bytes);
}

console.log(`Memory per claim over ${claimCount} claims: open ${bytesPerClaim(undefined)} bytes, settled with an answer of 200 bytes ${bytesPerClaim(200)} bytes`);
const fleet = await Fleet.start();
try {
	const services = await Promise.all(Array.from({length: targetCount}, async (_, index) => fleet.startTarget(`ledger-${index}`, 'service', ['--slots', '256'])));
	await fleet.publish(declarations(services.map(daemon => daemon.origin)));
	await Promise.all(Array.from({length: entryVmCount}, async (_, index) => fleet.startEntryVm(`vm-${index}`, 'riga-a')));
	await fleet.untilReady();
	const pools = fleet.entryVms.map(vm => new Pool(`http://127.0.0.1:${vm.ports.callers}`, {connections: 64}));
	for (const isKeyed of [false, true]) {
		// Warms up the processes.
		await runLoad(fleet, pools, {rate: isKeyed ? 201 : 200, isKeyed});
	}

	for (const rate of ratesPerSecond) {
		const unclaimed = await runLoad(fleet, pools, {rate, isKeyed: false});
		const claimed = await runLoad(fleet, pools, {rate, isKeyed: true});
		console.log(`${rate} requests/s over ${entryVmCount} entry VMs: without claim p50 ${unclaimed.p50.toFixed(2)} ms, p99 ${unclaimed.p99.toFixed(2)} ms; with claim p50 ${claimed.p50.toFixed(2)} ms, p99 ${claimed.p99.toFixed(2)} ms; added p50 ${(claimed.p50 - unclaimed.p50).toFixed(2)} ms, p99 ${(claimed.p99 - unclaimed.p99).toFixed(2)} ms; ${claimed.appendsPerSecond.toFixed(1)} appends/s; ${claimed.done} done, ${claimed.failed + unclaimed.failed} failed`);
	}

	await Promise.all(pools.map(async pool => pool.close()));
} finally {
	await fleet.close();
}
