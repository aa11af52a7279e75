import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {Pool} from 'undici';

/**
 * Job of a load generator, received over IPC. Requests start at a fixed `rate` per second (open loop); with `rate` 0,
 * `concurrency` requests are in flight at all times (closed loop).
 */
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

/** Result of a load generator: latencies of the completed requests in ms, and counts. */
export interface LoadResult {
	readonly latencies: number[];
	readonly failed: number;
	readonly chunks: number;
	readonly elapsedMs: number;
}

const pools = new Map<string, Pool>();

function connectionPool(origin: string): Pool {
	let pool = pools.get(origin);
	if (!pool) {
		pool = new Pool(origin, {connections: 512});
		pools.set(origin, pool);
	}

	return pool;
}

async function post(origin: string, path: string, body: unknown): Promise<string> {
	const res = await connectionPool(origin).request({
		method: 'POST', path, headers: {'content-type': 'application/json'}, body: JSON.stringify(body),
	});
	const text = await res.body.text();
	if (res.statusCode !== 200) {
		throw new Error(`Cannot send the request: status ${res.statusCode}: ${text}`);
	}

	return text;
}

function countChunks(text: string, marker: string): number {
	return text.split(marker).length - 1;
}

/** Sends a request to the entry VM. Returns the number of generated tokens. */
async function callEntryVm(job: LoadJob, id: string): Promise<number> {
	const text = await post(job.entryVm, '/v1/pipelines/advice/requests', {
		team: 'apprentices', input: {text: `question ${id}`}, max_tokens: job.tokens, stream: job.stream, deadline_ms: 60_000,
	});
	if (!text.includes('"outcome":"done"')) {
		throw new Error(`Cannot complete the request: ${text.slice(0, 200)}`);
	}

	return job.stream ? countChunks(text, 'event: chunk') : job.tokens;
}

/** Calls the targets of the pipeline in the order of its stages. Returns the number of received chunks. */
async function callTargets(job: LoadJob, id: string, index: number): Promise<number> {
	let input = `question ${id}`;
	for (const [position, kind] of ['encode', 'retrieve', 'rerank'].entries()) {
		const reply = JSON.parse(await post(job.services[position]!, '/v1/call', {
			request_id: id, stage: kind, attempt: 1, kind, input, remaining_ms: 60_000,
		})) as {output: string};
		input = reply.output;
	}

	const text = await post(job.engines[index % job.engines.length]!, '/v1/generate', {
		request_id: id, stage: 'generate', attempt: 1, share_class: 'within', prompt: [{id: 'input', text: `question ${id}`}, {id: 'context', text: input}], max_tokens: job.tokens, from_index: 0, remaining_ms: 60_000,
	});
	return countChunks(text, '"index"');
}

async function runJob(job: LoadJob): Promise<LoadResult> {
	const latencies: number[] = [];
	let failed = 0;
	let chunks = 0;
	let count = 0;
	const sendRequest = async () => {
		const index = count++;
		const startedAt = performance.now();
		try {
			const id = `${job.seed}-${index}`;
			const received = job.mode === 'entry-vm' ? await callEntryVm(job, id) : await callTargets(job, id, index);
			chunks += received;
			latencies.push(performance.now() - startedAt);
		} catch (err) {
			failed++;
			if (failed === 1) {
				console.error('First failed request:', (err as Error).message);
			}
		}
	};

	const startedAt = performance.now();
	const end = startedAt + job.durationMs;
	if (job.rate > 0) {
		const pending = new Set<Promise<void>>();
		for (let index = 0; performance.now() < end; index++) {
			const scheduledAt = startedAt + (index * 1000 / job.rate);
			const delayMs = scheduledAt - performance.now();
			if (delayMs > 0) {
				await sleep(delayMs);
			}

			const call = sendRequest();
			pending.add(call);
			void call.finally(() => pending.delete(call));
		}

		await Promise.all(pending);
	} else {
		await Promise.all(Array.from({length: job.concurrency}, async () => {
			while (performance.now() < end) {
				await sendRequest();
			}
		}));
	}

	return {
		latencies, failed, chunks, elapsedMs: performance.now() - startedAt,
	};
}

const [job] = await once(process, 'message') as [LoadJob];
process.send!(await runJob(job), () => {
	process.exit();
});
