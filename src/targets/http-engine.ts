import type {Dispatcher} from 'undici';
import {errorMessage} from '../errors/index.js';
import type {
	CacheEvent, Chunk, EngineOrder, EnginePort, EngineState, GenerateCall, OrderResult, TargetHealth, TargetLoad,
} from './engine-port.js';
import {classifyCallError, parseHealthHeaders, type HealthListener} from './http-common.js';
import {TargetConnections} from './target-connections.js';
import {TargetError} from './target-error.js';

/**
 * Client of an engine over HTTP. Chunks are streamed as newline-delimited JSON.
 *
 * @example
 * const engine = HttpEngine.create('http://127.0.0.1:7201', {connections: 16});
 */
export class HttpEngine implements EnginePort {
	/** Creates a client of the engine at `origin`; `onHealth` is called with the health from each reply. */
	static create(origin: string, options: {connections: number; onHealth?: HealthListener}): HttpEngine {
		return new HttpEngine(TargetConnections.create(origin, options));
	}

	private constructor(private readonly connections: TargetConnections) {}

	async * generate(call: GenerateCall, signal: AbortSignal): AsyncIterable<readonly Chunk[]> {
		const res = await this.#sendGenerate(call, signal);
		this.connections.onHealth(parseHealthHeaders(res.headers));
		if (res.statusCode !== 200) {
			await res.body.dump();
			throw TargetError.create(res.statusCode === 503 ? 'refused' : 'failed', `Cannot generate at ${this.connections.origin}: the engine answered ${res.statusCode}`);
		}

		yield * readChunks(res.body, this.connections.origin);
	}

	async cancel(call: Pick<GenerateCall, 'requestId' | 'stage' | 'attempt'>): Promise<void> {
		await this.connections.sendControlCall({method: 'POST', path: '/v1/cancel', body: {request_id: call.requestId, stage: call.stage, attempt: call.attempt}});
	}

	async load(): Promise<TargetLoad> {
		return this.connections.load();
	}

	async health(): Promise<TargetHealth> {
		return this.connections.health();
	}

	async cacheEvents(after: number): Promise<{startId: string; events: readonly CacheEvent[]}> {
		return await this.connections.sendControlCall({method: 'GET', path: `/v1/cache-events?after=${after}`}) as {startId: string; events: CacheEvent[]};
	}

	async order(order: EngineOrder): Promise<OrderResult> {
		const reply = await this.connections.sendControlCall({method: 'POST', path: '/v1/orders', body: order}) as {result: OrderResult};
		return reply.result;
	}

	async state(): Promise<EngineState> {
		return await this.connections.sendControlCall({method: 'GET', path: '/v1/state'}) as EngineState;
	}

	renewConnections(): void {
		this.connections.renew();
	}

	/** Closes the connections and aborts calls in flight. */
	async close(): Promise<void> {
		await this.connections.close();
	}

	async #sendGenerate(call: GenerateCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
		try {
			return await this.connections.pool.request({
				method: 'POST',
				path: '/v1/generate',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					request_id: call.requestId,
					stage: call.stage,
					attempt: call.attempt,
					team: call.team,
					share_class: call.shareClass,
					prompt: call.prompt,
					max_tokens: call.maxTokens,
					from_index: call.fromIndex,
					generated_text: call.generatedText,
					remaining_ms: Math.max(0, Math.round(call.remainingMs)),
				}),
				signal,
			});
		} catch (err) {
			throw TargetError.create(classifyCallError(err), `Cannot generate at ${this.connections.origin}: ${errorMessage(err)}`, err);
		}
	}
}

type WireChunk = {request_id: string; stage: string; attempt: number; index: number; text: string; done: boolean};

async function * readChunks(body: AsyncIterable<Uint8Array>, origin: string): AsyncIterable<readonly Chunk[]> {
	const decoder = new TextDecoder();
	let incompleteLine = '';
	let receivedLast = false;
	try {
		for await (const bytes of body) {
			const lines = (incompleteLine + decoder.decode(bytes, {stream: true})).split('\n');
			incompleteLine = lines.pop()!;
			if (lines.length > 0) {
				const chunks = parseChunks(lines);
				receivedLast ||= chunks.some(chunk => chunk.done);
				yield chunks;
			}
		}
	} catch (err) {
		throw TargetError.create('lost', `Cannot read the stream of ${origin}: ${errorMessage(err)}`, err);
	}

	if (!receivedLast) {
		throw TargetError.create('lost', `Cannot read the stream of ${origin}: it ended before its last chunk`);
	}
}

/** Parses the lines as one JSON array, which costs less than parsing each line separately. */
function parseChunks(lines: readonly string[]): Chunk[] {
	const wireChunks = JSON.parse(`[${lines.join(',')}]`) as WireChunk[];
	return wireChunks.map(wire => ({
		requestId: wire.request_id, stage: wire.stage, attempt: wire.attempt, index: wire.index, text: wire.text, done: wire.done,
	}));
}
