import {randomUUID} from 'node:crypto';
import {readFileSync} from 'node:fs';
import {fork} from 'node:child_process';
import path from 'node:path';
import {sampleDeclarations} from '../src/cli/sample.js';
import type {Declaration} from '../src/config/index.js';
import {Fleet} from '../test/support/fleet.js';
import type {LoadJob, LoadResult} from './support/load.js';

const generators = 2;
const engineCount = 3;

function percentile(sorted: readonly number[], share: number): number {
	return sorted[Math.min(sorted.length - 1, Math.floor(sorted.length * share))] ?? Number.NaN;
}

async function load(job: Omit<LoadJob, 'seed'>): Promise<{perSecond: number; chunksPerSecond: number; p50: number; p99: number; failed: number}> {
	const results = await Promise.all(Array.from({length: generators}, async (_, index) => new Promise<LoadResult>((resolve, reject) => {
		const data: LoadJob = {
			...job, rate: job.rate / generators, concurrency: job.concurrency / generators, seed: index,
		};
		const generator = fork(path.join(import.meta.dirname, 'support/load.ts'), {execArgv: ['--import', 'tsx']});
		generator.once('message', resolve);
		generator.once('error', reject);
		generator.send(data);
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

function residentMb(pid: number): number {
	return Number(/VmRSS:\s+(?<kb>\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.groups?.kb) / 1024;
}

const fleet = await Fleet.start();
try {
	const services = await Promise.all(['encoder', 'retriever', 'reranker'].map(async name => fleet.target(name, 'service', ['--slots', '2000'])));
	const engines = await Promise.all(Array.from({length: engineCount}, async (_, index) => fleet.target(`engine-${index}`, 'engine', ['--slots', '2000'])));
	const wide: Declaration[] = sampleDeclarations({
		encoder: services[0]!.origin, retriever: services[1]!.origin, reranker: services[2]!.origin, engine: engines[0]!.origin,
	}).map(declaration => declaration.kind === 'target' ? {...declaration, slots: 500} : declaration);
	for (const [index, engine] of engines.slice(1).entries()) {
		wide.push({
			kind: 'target', name: `engines-${index + 2}`, zone: 'sample-a', pool: 'engines', address: engine.origin, slots: 500, checks_fencing: false,
		});
	}

	await fleet.publish(wide);
	const vm = await fleet.entryVm(`bench-${randomUUID().slice(0, 4)}`, 'sample-a', process.argv.slice(2));
	await fleet.ready();
	const base = {
		entryVm: `http://127.0.0.1:${vm.ports.callers}`, services: services.map(service => service.origin), engines: engines.map(engine => engine.origin),
	};
	const memory = () => `${residentMb(vm.child.pid!).toFixed(0)} MB`;
	console.log(`idle memory ${memory()}`);
	await load({
		...base, mode: 'entry-vm', rate: 0, concurrency: 32, durationMs: 2000, tokens: 16, stream: false,
	});
	const rows: Array<[string, string]> = [];
	for (const rate of [100, 500]) {
		const options = {
			...base, rate, concurrency: 0, durationMs: 6000, tokens: 16, stream: false,
		};
		const plain = await load({...options, mode: 'direct'});
		const through = await load({...options, mode: 'entry-vm'});
		rows.push(
			[`direct at ${rate}/s`, `p50 ${plain.p50.toFixed(2)} ms, p99 ${plain.p99.toFixed(2)} ms, ${plain.failed} failed`],
			[`entry VM at ${rate}/s`, `p50 ${through.p50.toFixed(2)} ms, p99 ${through.p99.toFixed(2)} ms, ${through.failed} failed`],
			[`added at ${rate}/s`, `p50 ${(through.p50 - plain.p50).toFixed(2)} ms, p99 ${(through.p99 - plain.p99).toFixed(2)} ms`],
		);
	}

	const closed = await load({
		...base, mode: 'entry-vm', rate: 0, concurrency: 128, durationMs: 6000, tokens: 4, stream: false,
	});
	rows.push(['four-stage requests', `${closed.perSecond.toFixed(0)}/s, p99 ${closed.p99.toFixed(1)} ms, ${closed.failed} failed, ${memory()}`]);
	const chunks = await load({
		...base, mode: 'entry-vm', rate: 0, concurrency: 64, durationMs: 6000, tokens: 2000, stream: true,
	});
	rows.push(['relayed chunks', `${chunks.chunksPerSecond.toFixed(0)}/s, ${chunks.failed} failed, ${memory()}`]);
	for (const [name, figure] of rows) {
		console.log(`${name.padEnd(24)} ${figure}`);
	}
} finally {
	await fleet.close();
}
