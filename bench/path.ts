// `npm run bench:path -- [flags of the entry VM]`: measures the latency that an entry VM adds to a pipeline, compared with direct
// calls to the targets, and the throughput and the memory of the entry VM.
import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {fork} from 'node:child_process';
import path from 'node:path';
import {sampleDeclarations} from '../src/cli/sample.js';
import type {Declaration} from '../src/config/index.js';
import {Fleet} from '../test/support/fleet.js';
import type {LoadJob, LoadResult} from './support/load.js';

const generatorCount = 2;
const engineCount = 3;

function percentile(sorted: readonly number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}

/** Runs a job on all load generators, each with an equal part of its rate and concurrency, and combines their results. */
async function runLoad(job: Omit<LoadJob, 'seed'>): Promise<{perSecond: number; chunksPerSecond: number; p50: number; p99: number; failed: number}> {
	const results = await Promise.all(Array.from({length: generatorCount}, async (_, index) => new Promise<LoadResult>((resolve, reject) => {
		const generatorJob: LoadJob = {
			...job, rate: job.rate / generatorCount, concurrency: job.concurrency / generatorCount, seed: index,
		};
		const generator = fork(path.join(import.meta.dirname, 'support/load.ts'), {execArgv: ['--import', 'tsx']});
		generator.once('message', resolve);
		generator.once('error', reject);
		generator.send(generatorJob);
	})));
	const latencies = results.flatMap(result => result.latencies).sort((a, b) => a - b);
	const seconds = Math.max(...results.map(result => result.elapsedMs)) / 1000;
	return {
		perSecond: latencies.length / seconds,
		chunksPerSecond: results.reduce((sum, result) => sum + result.chunks, 0) / seconds,
		p50: percentile(latencies, 0.5),
		p99: percentile(latencies, 0.99),
		failed: results.reduce((sum, result) => sum + result.failed, 0),
	};
}

/** Returns the resident memory of a process in MiB. */
function residentMemoryMb(pid: number): number {
	return Number(/VmRSS:\s+(?<kb>\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kb) / 1024;
}

const fleet = await Fleet.start();
try {
	const services = await Promise.all(['encoder', 'retriever', 'reranker'].map(async name => fleet.startTarget(name, 'service', ['--slots', '2000'])));
	const engines = await Promise.all(Array.from({length: engineCount}, async (_, index) => fleet.startTarget(`engine-${index}`, 'engine', ['--slots', '2000'])));
	const declarations: Declaration[] = sampleDeclarations({
		encoder: services[0]!.origin, retriever: services[1]!.origin, reranker: services[2]!.origin, engine: engines[0]!.origin,
	}).map(declaration => declaration.kind === 'target' ? {...declaration, slots: 500} : declaration);
	for (const [index, engine] of engines.slice(1).entries()) {
		declarations.push({
			kind: 'target', name: `engines-${index + 2}`, zone: 'sample-a', pool: 'engines', address: engine.origin, slots: 500, checks_fencing: false,
		});
	}

	await fleet.publish(declarations);
	const vm = await fleet.startEntryVm(`bench-${randomUUID().slice(0, 4)}`, 'sample-a', process.argv.slice(2));
	await fleet.untilReady();
	const origins = {
		entryVm: `http://127.0.0.1:${vm.ports.callers}`, services: services.map(service => service.origin), engines: engines.map(engine => engine.origin),
	};
	const formatMemory = () => `${residentMemoryMb(vm.child.pid!).toFixed(0)} MB`;
	console.log(`idle memory ${formatMemory()}`);
	// Warms up the processes.
	await runLoad({
		...origins, mode: 'entry-vm', rate: 0, concurrency: 32, durationMs: 2000, tokens: 16, stream: false,
	});
	const rows: Array<[string, string]> = [];
	for (const rate of [100, 500]) {
		const options = {
			...origins, rate, concurrency: 0, durationMs: 6000, tokens: 16, stream: false,
		};
		const direct = await runLoad({...options, mode: 'direct'});
		const viaEntryVm = await runLoad({...options, mode: 'entry-vm'});
		rows.push(
			[`direct at ${rate}/s`, `p50 ${direct.p50.toFixed(2)} ms, p99 ${direct.p99.toFixed(2)} ms, ${direct.failed} failed`],
			[`entry VM at ${rate}/s`, `p50 ${viaEntryVm.p50.toFixed(2)} ms, p99 ${viaEntryVm.p99.toFixed(2)} ms, ${viaEntryVm.failed} failed`],
			[`added at ${rate}/s`, `p50 ${(viaEntryVm.p50 - direct.p50).toFixed(2)} ms, p99 ${(viaEntryVm.p99 - direct.p99).toFixed(2)} ms`],
		);
	}

	const closedLoop = await runLoad({
		...origins, mode: 'entry-vm', rate: 0, concurrency: 128, durationMs: 6000, tokens: 4, stream: false,
	});
	rows.push(['four-stage requests', `${closedLoop.perSecond.toFixed(0)}/s, p99 ${closedLoop.p99.toFixed(1)} ms, ${closedLoop.failed} failed, ${formatMemory()}`]);
	const streaming = await runLoad({
		...origins, mode: 'entry-vm', rate: 0, concurrency: 64, durationMs: 6000, tokens: 2000, stream: true,
	});
	rows.push(['relayed chunks', `${streaming.chunksPerSecond.toFixed(0)}/s, ${streaming.failed} failed, ${formatMemory()}`]);
	for (const [name, figure] of rows) {
		console.log(`${name.padEnd(24)} ${figure}`);
	}
} finally {
	await fleet.close();
}
