// Time from Apply's answer until the change is in force at every entry VM: 9 processes, 200 changes, one after another.
import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {sampleDeclarations} from '../src/cli/sample.js';
import {Random} from '../src/random/index.js';
import {Fleet, rpc, until} from '../test/support/fleet.js';

const seed = Number(process.argv[2] ?? 1);
const entryVmCount = 9;
const changeCount = 200;
/** Mean pause between changes, so that they arrive at any time within the long poll of a follower. */
const meanPauseMs = 50;
const origin = 'http://127.0.0.1:9';

/** Ends the run when a process stops answering. */
const limit = setTimeout(() => {
	console.error('Cannot finish: the run took longer than 300 s.');
	process.exit(1);
}, 300_000);

function summary(values: readonly number[]): string {
	const sorted = values.toSorted((a, b) => a - b);
	const at = (share: number) => sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)]!;
	return `p50 ${at(0.5)} ms, p99 ${at(0.99)} ms, max ${sorted.at(-1)!} ms`;
}

const fleet = await Fleet.start();
try {
	await fleet.publish(sampleDeclarations({
		encoder: origin, retriever: origin, reranker: origin, engine: origin,
	}));
	for (let index = 0; index < entryVmCount; index++) {
		await fleet.entryVm(`vm-${index + 1}`, 'sample-a');
	}

	await fleet.ready();
	const random = Random.create(seed);
	const answers = new Map<string, {at: number; tookMs: number}>();
	let {revision: base} = await rpc(fleet.entryVms[0]!, 'Status', {});
	const startedAt = Date.now();
	for (let index = 0; index < changeCount; index++) {
		await sleep(random.exponential(meanPauseMs));
		const sentAt = Date.now();
		const result = await rpc(random.pick(fleet.entryVms), 'Apply', {
			baseRevision: base,
			set: [{
				kind: 'team', name: 'apprentices', weight: index + 1, deadline_ms: 9000,
			}],
			author: 'bench',
			changeId: randomUUID(),
		});
		if (!result.accepted) {
			throw new Error(`Cannot measure: ${JSON.stringify(result)}`);
		}

		base = result.accepted.revision;
		answers.set(`revision ${base}`, {at: Date.now(), tookMs: Date.now() - sentAt});
	}

	await until(async () => (await Promise.all(fleet.entryVms.map(vm => rpc(vm, 'Status', {})))).every(status => status.revision === base), 'the last revision everywhere');
	// Each process notes the time of application on the machine's one wall clock; events need no polling during the run.
	const latest = new Map<string, {at: number; count: number}>();
	for (const vm of fleet.entryVms) {
		const {events} = await rpc(vm, 'Trace', {sinceMs: startedAt, limit: 20_000});
		for (const event of events.filter((candidate: {kind: string}) => candidate.kind === 'config_applied')) {
			const last = latest.get(event.detail);
			latest.set(event.detail, {at: Math.max(last?.at ?? 0, event.wallMs), count: (last?.count ?? 0) + 1});
		}
	}

	const delays = [...answers].map(([detail, answer]) => {
		const last = latest.get(detail);
		if (last?.count !== entryVmCount) {
			throw new Error(`Cannot measure: ${detail} was applied at ${last?.count ?? 0} entry VMs`);
		}

		return Math.max(0, last.at - answer.at);
	});
	console.log(`seed ${seed}, ${entryVmCount} entry VMs, ${changeCount} changes`);
	console.log(`Apply, sent to answered:          ${summary([...answers.values()].map(answer => answer.tookMs))}`);
	console.log(`answered to in force everywhere:  ${summary(delays)}`);
} finally {
	await fleet.close();
	clearTimeout(limit);
}
