import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Pool} from 'undici';

/** What one load generator does. `rate` 0 keeps `concurrency` requests open at all times. */
export interface LoadJob {
	readonly mode: 'entry-vm' | 'direct';
	readonly entryVm: string;
	readonly services: readonly string[];
	readonly engines: readonly string[];
	readonly rate: number;
	readonly concurrency: number;
	readonly durationMs: number;
	readonly tokens: number;
	readonly stream: boolean;
	readonly seed: number;
}

/** Latencies in ms and counts of one generator. */
export interface LoadResult {
	readonly latencies: number[];
	readonly failed: number;
	readonly chunks: number;
	readonly elapsedMs: number;
}

const pools = new Map<string, Pool>();

function poolOf(origin: string): Pool {
	let pool = pools.get(origin);
	if (!pool) {
		pool = new Pool(origin, {connections: 512});
		pools.set(origin, pool);
	}

	return pool;
}

async function postText(origin: string, path: string, body: unknown): Promise<string> {
	const res = await poolOf(origin).request({
		method: 'POST', path, headers: {'content-type': 'application/json'}, body: JSON.stringify(body),
	});
	const text = await res.body.text();
	if (res.statusCode !== 200) {
		throw new Error(`status ${res.statusCode}: ${text}`);
	}

	return text;
}

function countChunks(text: string, mark: string): number {
	return text.split(mark).length - 1;
}

async function viaEntryVm(job: LoadJob, id: string): Promise<number> {
	const text = await postText(job.entryVm, '/v1/pipelines/advice/requests', {
		team: 'apprentices', input: {text: `question ${id}`}, max_tokens: job.tokens, stream: job.stream, deadline_ms: 60_000,
	});
	if (!text.includes('"outcome":"done"')) {
		throw new Error(`no answer: ${text.slice(0, 200)}`);
	}

	return job.stream ? countChunks(text, 'event: chunk') : job.tokens;
}

async function direct(job: LoadJob, id: string, index: number): Promise<number> {
	let input = `question ${id}`;
	for (const [position, kind] of ['encode', 'retrieve', 'rerank'].entries()) {
		const reply = JSON.parse(await postText(job.services[position]!, '/v1/call', {
			request_id: id, stage: kind, attempt: 1, kind, input, remaining_ms: 60_000,
		})) as {output: string};
		input = reply.output;
	}

	const text = await postText(job.engines[index % job.engines.length]!, '/v1/generate', {
		request_id: id, stage: 'generate', attempt: 1, share_class: 'within', prompt: [{id: 'input', text: `question ${id}`}, {id: 'context', text: input}], max_tokens: job.tokens, from_index: 0, remaining_ms: 60_000,
	});
	return countChunks(text, '"index"');
}

async function run(job: LoadJob): Promise<LoadResult> {
	const latencies: number[] = [];
	let failed = 0;
	let chunks = 0;
	let count = 0;
	const one = async () => {
		const index = count++;
		const startedAt = performance.now();
		try {
			const id = `${job.seed}-${index}`;
			const received = job.mode === 'entry-vm' ? await viaEntryVm(job, id) : await direct(job, id, index);
			chunks += received;
			latencies.push(performance.now() - startedAt);
		} catch (err) {
			failed++;
			if (failed === 1) {
				console.error('first failure:', (err as Error).message);
			}
		}
	};

	const startedAt = performance.now();
	const end = startedAt + job.durationMs;
	if (job.rate > 0) {
		const open = new Set<Promise<void>>();
		for (let index = 0; performance.now() < end; index++) {
			const due = startedAt + (index * 1000 / job.rate);
			const wait = due - performance.now();
			if (wait > 0) {
				await sleep(wait);
			}

			const call = one();
			open.add(call);
			void call.finally(() => open.delete(call));
		}

		await Promise.all(open);
	} else {
		await Promise.all(Array.from({length: job.concurrency}, async () => {
			while (performance.now() < end) {
				await one();
			}
		}));
	}

	return {
		latencies, failed, chunks, elapsedMs: performance.now() - startedAt,
	};
}

const [job] = await once(process, 'message') as [LoadJob];
process.send!(await run(job), () => {
	process.exit();
});
