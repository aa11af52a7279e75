// `npm run bench:claims`: cost of a claim in latency, appends and memory. Flags: --seconds 5 --seed 1.
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
const rates = [10, 100, 1000];
const targets = 4;
const vms = 9;
const heldClaims = 100_000;

type Load = {readonly p50: number; readonly p99: number; readonly done: number; readonly failed: number; readonly appendsPerSecond: number};

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

async function appends(fleet: Fleet): Promise<number> {
	return (await get(`${fleet.log.origin}/appends`)).appends as number;
}

/** Sends bookings at a rate with exponential gaps, spread over the entry VMs, each call with or without a claim. */
async function load(fleet: Fleet, pools: readonly Pool[], options: {rate: number; isKeyed: boolean}): Promise<Load> {
	const random = Random.create(seed);
	const micros = hdr.build({lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000, numberOfSignificantValueDigits: 3});
	const count = Math.max(100, options.rate * seconds);
	const notAfterMs = Date.now() + 600_000;
	let failed = 0;
	const book = async (index: number) => {
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
		micros.recordValue(Math.round((performance.now() - startedAt) * 1000));
	};

	const before = await appends(fleet);
	const startedAt = performance.now();
	const calls: Array<Promise<void>> = [];
	let at = startedAt;
	for (let index = 0; index < count; index++) {
		at += random.exponential(1000 / options.rate);
		await sleep(Math.max(0, at - performance.now()));
		calls.push(book(index));
	}

	const tookMs = performance.now() - startedAt;
	await Promise.all(calls);
	// The last outcomes follow in a batch.
	await sleep(200);
	return {
		p50: micros.getValueAtPercentile(50) / 1000, p99: micros.getValueAtPercentile(99) / 1000, done: count - failed, failed, appendsPerSecond: (await appends(fleet) - before) * 1000 / tookMs,
	};
}

/** Heap bytes of a held claim, with an answer of the given size. */
function bytesPerClaim(answerBytes: number | undefined): number {
	setFlagsFromString('--expose-gc');
	const collect = runInNewContext('gc') as () => void;
	collect();
	const before = process.memoryUsage().heapUsed;
	const table = ClaimTable.create({maxAnswerBytes: Number.POSITIVE_INFINITY});
	let offset = 0;
	for (let index = 0; index < heldClaims; index++) {
		// Strings are made anew, as they come from parsed JSON.
		const own = JSON.stringify({key: `key-${index}`.padEnd(22, 'x'), claimId: `id-${index}`.padEnd(16, 'x'), incarnation: 'mabc1234abcdef123456'});
		const atMs = index;
		table.apply({
			offset: offset++, atMs, record: {
				...JSON.parse(own) as object, kind: 'claim', notAfterMs: 900_000 + index, bodyHash: `body-${index}`.padEnd(22, 'x'),
			},
		});
		if (answerBytes !== undefined) {
			table.apply({
				offset: offset++, atMs, record: {
					...JSON.parse(own) as object, kind: 'outcome', outcome: 'done', answer: Buffer.alloc(answerBytes, 'a').toString('latin1'),
				},
			});
		}
	}

	collect();
	const bytes = (process.memoryUsage().heapUsed - before) / table.size;
	return Math.round(bytes);
}

console.log(`Memory of a held claim over ${heldClaims} claims: open ${bytesPerClaim(undefined)} bytes, settled with an answer of 200 bytes ${bytesPerClaim(200)} bytes`);
const fleet = await Fleet.start();
try {
	const ledgers = await Promise.all(Array.from({length: targets}, async (_, index) => fleet.target(`ledger-${index}`, 'service', ['--slots', '256'])));
	await fleet.publish(declarations(ledgers.map(daemon => daemon.origin)));
	await Promise.all(Array.from({length: vms}, async (_, index) => fleet.entryVm(`vm-${index}`, 'riga-a')));
	await fleet.ready();
	const pools = fleet.entryVms.map(vm => new Pool(`http://127.0.0.1:${vm.ports.callers}`, {connections: 64}));
	for (const isKeyed of [false, true]) {
		// Warms up the processes.
		await load(fleet, pools, {rate: isKeyed ? 201 : 200, isKeyed});
	}

	for (const rate of rates) {
		const plain = await load(fleet, pools, {rate, isKeyed: false});
		const claimed = await load(fleet, pools, {rate, isKeyed: true});
		console.log(`${rate} bookings/s over ${vms} entry VMs: without claim p50 ${plain.p50.toFixed(2)} ms, p99 ${plain.p99.toFixed(2)} ms; with claim p50 ${claimed.p50.toFixed(2)} ms, p99 ${claimed.p99.toFixed(2)} ms; added p50 ${(claimed.p50 - plain.p50).toFixed(2)} ms, p99 ${(claimed.p99 - plain.p99).toFixed(2)} ms; ${claimed.appendsPerSecond.toFixed(1)} appends/s; ${claimed.done} done, ${claimed.failed + plain.failed} failed`);
	}

	await Promise.all(pools.map(async pool => pool.close()));
} finally {
	await fleet.close();
}
