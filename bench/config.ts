// `npm run bench:config -- [seed]`: measures the time from the response of Apply until every entry VM has applied the change,
// for 200 sequential changes on 9 entry VMs.
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {sampleDeclarations} from '../src/cli/sample.js';
import {Random} from '../src/random/index.js';
import {Fleet, rpc, until} from '../test/support/fleet.js';

const seed = Number(process.argv[2] ?? 1);
const entryVmCount = 9;
const changeCount = 200;
/** Mean of the exponentially distributed pauses between changes; changes then arrive at any point of a follower's long poll. */
const meanChangeIntervalMs = 50;
/** Address of the declared targets. Nothing needs to listen there, because no request is sent. */
const unusedOrigin = 'http://127.0.0.1:9';

/** Aborts the run when a process stops responding. */
const runTimeout = setTimeout(() => {
	console.error('Cannot finish the run: it took longer than 300 s');
	process.exit(1);
}, 300_000);

function summarize(values: readonly number[]): string {
	const sorted = values.toSorted((a, b) => a - b);
	const percentile = (share: number) => sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)]!;
	return `p50 ${percentile(0.5)} ms, p99 ${percentile(0.99)} ms, max ${sorted.at(-1)!} ms`;
}

const fleet = await Fleet.start();
try {
	await fleet.publish(sampleDeclarations({
		encoder: unusedOrigin, retriever: unusedOrigin, reranker: unusedOrigin, engine: unusedOrigin,
	}));
	for (let index = 0; index < entryVmCount; index++) {
		await fleet.startEntryVm(`vm-${index + 1}`, 'sample-a');
	}

	await fleet.untilReady();
	const random = Random.create(seed);
	const applyResults = new Map<string, {atMs: number; tookMs: number}>();
	let {revision: currentRevision} = await rpc(fleet.entryVms[0]!, 'Status', {});
	const startedAt = Date.now();
	for (let index = 0; index < changeCount; index++) {
		await sleep(random.exponential(meanChangeIntervalMs));
		const sentAt = Date.now();
		const result = await rpc(random.pick(fleet.entryVms), 'Apply', {
			baseRevision: currentRevision,
			set: [{
				kind: 'team', name: 'apprentices', weight: index + 1, deadline_ms: 9000,
			}],
			author: 'bench',
			changeId: randomUUID(),
		});
		if (!result.accepted) {
			throw new Error(`Cannot measure: ${JSON.stringify(result)}`);
		}

		currentRevision = result.accepted.revision;
		applyResults.set(`revision ${currentRevision}`, {atMs: Date.now(), tookMs: Date.now() - sentAt});
	}

	await until(async () => (await Promise.all(fleet.entryVms.map(vm => rpc(vm, 'Status', {})))).every(status => status.revision === currentRevision), 'the last revision on every entry VM');
	// All processes share the wall clock of one machine, so the times in their events are comparable. Reading the events after
	// the run avoids polling during the measurement.
	const lastApplied = new Map<string, {atMs: number; count: number}>();
	for (const vm of fleet.entryVms) {
		const {events} = await rpc(vm, 'Trace', {sinceMs: startedAt, limit: 20_000});
		for (const event of events.filter((candidate: {kind: string}) => candidate.kind === 'config_applied')) {
			const last = lastApplied.get(event.detail);
			lastApplied.set(event.detail, {atMs: Math.max(last?.atMs ?? 0, event.wallMs), count: (last?.count ?? 0) + 1});
		}
	}

	const propagationDelaysMs = [...applyResults].map(([detail, answer]) => {
		const last = lastApplied.get(detail);
		if (last?.count !== entryVmCount) {
			throw new Error(`Cannot measure: ${detail} was applied at ${last?.count ?? 0} entry VMs`);
		}

		return Math.max(0, last.atMs - answer.atMs);
	});
	console.log(`seed ${seed}, ${entryVmCount} entry VMs, ${changeCount} changes`);
	console.log(`latency of Apply:                 ${summarize([...applyResults.values()].map(answer => answer.tookMs))}`);
	console.log(`response to applied on all VMs:   ${summarize(propagationDelaysMs)}`);
} finally {
	await fleet.close();
	clearTimeout(runTimeout);
}
