// `npm run bench:control -- [sizes]`: measures control traffic, CPU time and memory per entry VM at several fleet sizes.
import {spawn} from 'node:child_process';
import {readFileSync} from 'node:fs';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {request} from 'undici';
import type {Declaration} from '../src/config/index.js';
import type {Daemon} from '../test/support/daemon.js';
import {
	Fleet, peersOf, pipelineUrl, post, until,
} from '../test/support/fleet.js';

const sizes = process.argv.length > 2 ? process.argv.slice(2).map(Number) : [9, 25, 50, 100];
const zones = ['riga-a', 'riga-b', 'liepaja-a', 'heredia-a', 'limon-a'];
const regions = ['Kurzeme', 'Kurzeme', 'Kurzeme', 'Caribe Sur', 'Caribe Sur'];
/** Engines and teams per entry VM, in the proportions of the planned size: 890 engines and 1200 teams for 380 entry VMs. */
const enginesPerVm = 890 / 380;
const teamsPerVm = 1200 / 380;
const measurementMs = 15_000;
/** Time without changes after which entry VMs poll the VM list at the longer interval. */
const vmListSettleMs = 24_000;
const changeIntervalMs = 5000;
const requestsPerVm = 15;
const mebibyte = 1_048_576;
const maxTotalPssBytes = 8192 * mebibyte;
const maxConcurrentStarts = 4;
/** Unit of the CPU times in `/proc/<pid>/stat` (`USER_HZ`). */
const clockTicksPerSecond = 100;

type ProcessSample = {atMs: number; cpuSeconds: number; read: number; written: number; rss: number; pss: number};
type LinkTraffic = {atMs: number; sent: number; received: number; messages: number; otherRegion: number; causes: Map<string, number>};
/**
 * Means per entry VM: CPU time in percent of a core, rates per second, and memory in MiB. `busySent` is the rate of bytes
 * sent with traffic; `beyondIdle` is the RSS above that of an idle Node.js process.
 */
type Row = {size: number; cpu: number; sent: number; received: number; messages: number; otherRegion: number; written: number; read: number; busySent: number; rss: number; beyondIdle: number; pss: number};

function sampleProcess(pid: number): ProcessSample {
	const stat = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]!.split(' ');
	const io = readFileSync(`/proc/${pid}/io`, 'utf8');
	const status = readFileSync(`/proc/${pid}/status`, 'utf8');
	const rollup = readFileSync(`/proc/${pid}/smaps_rollup`, 'utf8');
	return {
		atMs: performance.now(),
		cpuSeconds: (Number(stat[11]) + Number(stat[12])) / clockTicksPerSecond,
		read: Number(/rchar: (\d+)/.exec(io)![1]),
		written: Number(/wchar: (\d+)/.exec(io)![1]),
		rss: Number(/VmRSS:\s+(\d+)/.exec(status)![1]) * 1024,
		pss: Number(/^Pss:\s+(\d+)/m.exec(rollup)![1]) * 1024,
	};
}

/** Reads the link traffic counters of an entry VM from its metrics. */
async function readLinkTraffic(vm: Daemon): Promise<LinkTraffic> {
	const text = await (await request(`http://127.0.0.1:${vm.ports.operators}/metrics`)).body.text();
	const links: LinkTraffic = {
		atMs: performance.now(), sent: 0, received: 0, messages: 0, otherRegion: 0, causes: new Map(),
	};
	for (const match of text.matchAll(/^guavamill_link_(bytes|messages)_total{direction="(\w+)",cause="([\w-]+)",distance="(\w+)"} (\S+)$/gm)) {
		const [, unit, direction, cause, distance, value] = match as unknown as [string, string, 'sent' | 'received', string, string, string];
		const amount = Number(value);
		if (unit === 'messages') {
			links.messages += direction === 'sent' ? amount : 0;
			continue;
		}

		links[direction] += amount;
		if (direction === 'sent') {
			links.causes.set(`${cause} ${distance}`, (links.causes.get(`${cause} ${distance}`) ?? 0) + amount);
			links.otherRegion += distance === 'other_region' ? amount : 0;
		}
	}

	return links;
}

/** Measures the resident memory of a Node.js process that runs no application code. */
async function measureIdleRss(): Promise<number> {
	const child = spawn(process.execPath, ['-e', 'setInterval(() => {}, 1e6)'], {stdio: 'ignore'});
	await sleep(1500);
	const {rss} = sampleProcess(child.pid!);
	child.kill('SIGKILL');
	return rss;
}

function declarations(size: number, origins: {service: string; engine: string}): Declaration[] {
	return [
		...zones.map((name, index): Declaration => ({kind: 'zone', name, region: regions[index]!})),
		...Array.from({length: Math.round(size * teamsPerVm)}, (_, index): Declaration => ({
			kind: 'team', name: `team-${index}`, weight: 1, priority: 5, deadline_ms: 9000,
		})),
		{
			kind: 'pool', name: 'encoders', type: 'service', prefill_ms_per_token: 0, decode_ms_per_token: 0, service_ms: 1500, cost_per_second: 0, lookup: false,
		},
		{
			kind: 'target', name: 'encoder-1', zone: zones[0]!, pool: 'encoders', address: origins.service, slots: 512, checks_fencing: false,
		},
		{
			kind: 'pool', name: 'engines', type: 'engine', prefill_ms_per_token: 0.05, decode_ms_per_token: 10, service_ms: 0, cost_per_second: 1, lookup: false,
		},
		...Array.from({length: Math.round(size * enginesPerVm)}, (_, index): Declaration => ({
			kind: 'target', name: `engine-${index}`, zone: zones[index % zones.length]!, pool: 'engines', address: origins.engine, slots: 8, checks_fencing: false,
		})),
		{
			kind: 'pipeline',
			name: 'advice',
			deadline_ms: 9000,
			stages: [{
				name: 'encode', kind: 'encode', pool: 'encoders', idempotent: true,
			}],
		},
	];
}

async function startVms(fleet: Fleet, size: number): Promise<void> {
	let next = 0;
	await Promise.all(Array.from({length: maxConcurrentStarts}, async () => {
		while (next < size) {
			const index = next++;
			const zone = zones[index % zones.length]!;
			await fleet.startLinkedVm(`${zone}-${index}`, zone);
		}
	}));
}

/** Sends `requestsPerVm` requests to each entry VM, one per second. */
async function sendTraffic(fleet: Fleet, teams: number): Promise<void> {
	await Promise.all(fleet.entryVms.map(async (vm, index) => {
		const pending: Array<Promise<unknown>> = [];
		for (let count = 0; count < requestsPerVm; count++) {
			pending.push(post(pipelineUrl(vm, 'advice'), {team: `team-${(index + (count * 7)) % teams}`, input: {text: 'x'}}));
			await sleep(measurementMs / requestsPerVm);
		}

		await Promise.all(pending);
	}));
}

const mean = (values: readonly number[]) => values.reduce((sum, value) => sum + value, 0) / values.length;

async function measure(size: number, idleRssBytes: number): Promise<Row> {
	const fleet = await Fleet.start();
	try {
		const [service, engine] = await Promise.all([fleet.startTarget('service', 'service', ['--service-ms', '1500', '--slots', '512']), fleet.startTarget('engine', 'engine')]);
		const fleetDeclarations = declarations(size, {service: service.origin, engine: engine.origin});
		await fleet.publish(fleetDeclarations);
		await startVms(fleet, size);
		const startedAt = performance.now();
		await fleet.untilReady();
		for (const vm of fleet.entryVms) {
			const zone = (vm.child.spawnargs[vm.child.spawnargs.indexOf('--zone') + 1])!;
			const peersInZone = fleet.entryVms.filter(other => other.child.spawnargs.includes(zone)).length - 1;
			await until(async () => Object.entries(await peersOf(vm)).filter(([name, state]) => name.startsWith(zone) && state === 'live').length === peersInZone, `links of ${zone}`, 120_000);
		}

		await sleep(Math.max(0, vmListSettleMs - (performance.now() - startedAt)));
		const pids = fleet.entryVms.map(vm => vm.child.pid!);
		const linksBefore = await Promise.all(fleet.entryVms.map(vm => readLinkTraffic(vm)));
		const before = pids.map(pid => sampleProcess(pid));
		const totalPssBytes = before.reduce((sum, {pss}) => sum + pss, 0);
		if (totalPssBytes > maxTotalPssBytes) {
			throw new Error(`Cannot measure ${size} entry VMs: they use ${Math.round(totalPssBytes / mebibyte)} MiB`);
		}

		for (let change = 0; change < measurementMs / changeIntervalMs; change++) {
			await fleet.publish([{
				kind: 'team', name: `team-${change}`, weight: 2 + change, priority: 5, deadline_ms: 9000,
			}]);
			await sleep(changeIntervalMs);
		}

		const after = pids.map(pid => sampleProcess(pid));
		const linksAfter = await Promise.all(fleet.entryVms.map(vm => readLinkTraffic(vm)));
		await sendTraffic(fleet, Math.round(size * teamsPerVm));
		const linksWithTraffic = await Promise.all(fleet.entryVms.map(vm => readLinkTraffic(vm)));
		printTrafficByCause(size, linksBefore, linksAfter, linksWithTraffic);
		const rate = (pick: (value: ProcessSample) => number) => mean(after.map((value, index) => (pick(value) - pick(before[index]!)) / (value.atMs - before[index]!.atMs) * 1000));
		const linkRate = (pick: (value: LinkTraffic) => number, from = linksBefore, to = linksAfter) => mean(to.map((value, index) => (pick(value) - pick(from[index]!)) / (value.atMs - from[index]!.atMs) * 1000));
		return {
			size,
			cpu: rate(value => value.cpuSeconds) * 100,
			sent: linkRate(value => value.sent),
			received: linkRate(value => value.received),
			messages: linkRate(value => value.messages),
			otherRegion: linkRate(value => value.otherRegion),
			written: rate(value => value.written),
			read: rate(value => value.read),
			busySent: linkRate(value => value.sent, linksAfter, linksWithTraffic),
			rss: mean(after.map(value => value.rss)) / mebibyte,
			beyondIdle: (mean(after.map(value => value.rss)) - idleRssBytes) / mebibyte,
			pss: mean(after.map(value => value.pss)) / mebibyte,
		};
	} finally {
		await fleet.close();
	}
}

/** Prints the mean rate of bytes sent per entry VM, by cause and distance. */
function printTrafficByCause(size: number, before: readonly LinkTraffic[], after: readonly LinkTraffic[], withTraffic: readonly LinkTraffic[]): void {
	const causes = new Set([...after, ...withTraffic].flatMap(links => [...links.causes.keys()]));
	for (const cause of causes) {
		const rate = (from: readonly LinkTraffic[], to: readonly LinkTraffic[]) => mean(to.map((links, index) => ((links.causes.get(cause) ?? 0) - (from[index]!.causes.get(cause) ?? 0)) / (links.atMs - from[index]!.atMs) * 1000));
		console.log(`  ${size}: ${cause}: ${rate(before, after).toFixed(1)} B/s without traffic, ${rate(after, withTraffic).toFixed(1)} B/s with traffic`);
	}
}

/** Fits a column to the fleet size by least squares. Returns table cells: intercept, slope and root-mean-square residual. */
function fitLine(rows: readonly Row[], column: Exclude<keyof Row, 'size'>): string {
	const meanX = mean(rows.map(row => row.size));
	const meanY = mean(rows.map(row => row[column]));
	const slope = rows.reduce((sum, row) => sum + ((row.size - meanX) * (row[column] - meanY)), 0) / rows.reduce((sum, row) => sum + ((row.size - meanX) ** 2), 0);
	const intercept = meanY - (slope * meanX);
	const residual = Math.sqrt(mean(rows.map(row => (row[column] - (intercept + (slope * row.size))) ** 2)));
	return `${intercept.toFixed(3)} | ${slope.toFixed(4)} | ${residual.toFixed(3)}`;
}

const idleRssBytes = await measureIdleRss();
console.log(`idle Node.js process: ${(idleRssBytes / mebibyte).toFixed(1)} MiB RSS`);
const rows: Row[] = [];
for (const size of sizes) {
	rows.push(await measure(size, idleRssBytes));
	console.log(JSON.stringify(rows.at(-1)));
}

const columns = ['cpu', 'sent', 'received', 'messages', 'otherRegion', 'written', 'read', 'busySent', 'rss', 'beyondIdle', 'pss'] as const;
console.log(`| entry VMs | ${columns.join(' | ')} |`);
console.log(`|---|${columns.map(() => '---|').join('')}`);
for (const row of rows) {
	console.log(`| ${row.size} | ${columns.map(column => row[column].toFixed(2)).join(' | ')} |`);
}

if (rows.length > 1) {
	console.log('| value | at 0 | per entry VM | residual (RMS) |');
	console.log('|---|---|---|---|');
	for (const column of columns) {
		console.log(`| ${column} | ${fitLine(rows, column)} |`);
	}
}
