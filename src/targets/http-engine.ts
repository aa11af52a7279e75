import type {Dispatcher} from 'undici';
import {errorMessage} from '../errors/index.js';
import type {
	CacheEvent, Chunk, EngineOrder, EnginePort, EngineState, GenerateCall, OrderResult, TargetHealth, TargetLoad,
} from './engine-port.js';
import {callFailure, readHealthHeaders, type HealthListener} from './http-common.js';
import {TargetConnections} from './target-connections.js';
import {TargetError} from './target-error.js';

/**
 * Engine over HTTP: chunks as lines of JSON.
 *
 * @example
 * const engine = HttpEngine.create('http://127.0.0.1:7201', {connections: 16});
 */
export class HttpEngine implements EnginePort {
	/** Creates a client; `onHealth` is told the start id and draining flag of every reply. */
	static create(origin: string, options: {connections: number; onHealth?: HealthListener}): HttpEngine {
		return new HttpEngine(TargetConnections.create(origin, options));
	}

	private constructor(private readonly target: TargetConnections) {}

	async * generate(call: GenerateCall, signal: AbortSignal): AsyncIterable<readonly Chunk[]> {
		const res = await this.#send(call, signal);
		this.target.onHealth(readHealthHeaders(res.headers));
		if (res.statusCode !== 200) {
			await res.body.dump();
			throw TargetError.create(res.statusCode === 503 ? 'refused' : 'failed', `Cannot generate at ${this.target.origin}: the engine answered ${res.statusCode}`);
		}

		yield * readChunks(res.body, this.target.origin);
	}

	async cancel(call: Pick<GenerateCall, 'requestId' | 'stage' | 'attempt'>): Promise<void> {
		await this.target.control({method: 'POST', path: '/v1/cancel', body: {request_id: call.requestId, stage: call.stage, attempt: call.attempt}});
	}

	async load(): Promise<TargetLoad> {
		return this.target.load();
	}

	async health(): Promise<TargetHealth> {
		return this.target.health();
	}

	async cacheEvents(after: number): Promise<{startId: string; events: readonly CacheEvent[]}> {
		return await this.target.control({method: 'GET', path: `/v1/cache-events?after=${after}`}) as {startId: string; events: CacheEvent[]};
	}

	async order(order: EngineOrder): Promise<OrderResult> {
		const reply = await this.target.control({method: 'POST', path: '/v1/orders', body: order}) as {result: OrderResult};
		return reply.result;
	}

	async state(): Promise<EngineState> {
		return await this.target.control({method: 'GET', path: '/v1/state'}) as EngineState;
	}

	renew(): void {
		this.target.renew();
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.target.close();
	}

	async #send(call: GenerateCall, signal: AbortSignal): Promise<Dispatcher.ResponseData> {
		try {
			return await this.target.pool.request({
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
			throw TargetError.create(callFailure(err), `Cannot generate at ${this.target.origin}: ${errorMessage(err)}`, err);
		}
	}
}

type WireChunk = {request_id: string; stage: string; attempt: number; index: number; text: string; done: boolean};

async function * readChunks(body: AsyncIterable<Uint8Array>, origin: string): AsyncIterable<readonly Chunk[]> {
	const decoder = new TextDecoder();
	let rest = '';
	let finished = false;
	try {
		for await (const bytes of body) {
			const lines = (rest + decoder.decode(bytes, {stream: true})).split('\n');
			rest = lines.pop()!;
			if (lines.length > 0) {
				const chunks = parseChunks(lines);
				finished ||= chunks.some(chunk => chunk.done);
				yield chunks;
			}
		}
	} catch (err) {
		throw TargetError.create('lost', `Cannot read the stream of ${origin}: ${errorMessage(err)}`, err);
	}

	if (!finished) {
		throw TargetError.create('lost', `Cannot read the stream of ${origin}: it ended before its last chunk`);
	}
}

/** One parse for all lines that arrived together costs less than one for each line. */
function parseChunks(lines: readonly string[]): Chunk[] {
	const wires = JSON.parse(`[${lines.join(',')}]`) as WireChunk[];
	return wires.map(wire => ({
		requestId: wire.request_id, stage: wire.stage, attempt: wire.attempt, index: wire.index, text: wire.text, done: wire.done,
	}));
}
