import {Client, type Dispatcher} from 'undici';
import {z} from 'zod';
import {errorMessage} from '../errors/index.js';
import type {TargetHealth, TargetLoad} from './engine-port.js';
import {classifyCallError, parseHealthHeaders, type HealthListener} from './http-common.js';
import type {ServiceCall, ServicePort, ServiceReply} from './service-port.js';
import {TargetConnections} from './target-connections.js';
import {TargetError} from './target-error.js';

const replySchema = z.object({
	request_id: z.string(), stage: z.string(), attempt: z.number(), output: z.string(),
});

/**
 * Client of a service over HTTP. Idempotent calls share a connection pool. Each non-idempotent call opens a new
 * connection, because an idle one may be half open, which would leave the outcome of the call unknown.
 *
 * @example
 * const service = HttpService.create('http://127.0.0.1:7301', {connections: 8});
 */
export class HttpService implements ServicePort {
	/** Creates a client of the service at `origin`; `onHealth` is called with the health from each reply. */
	static create(origin: string, options: {connections: number; onHealth?: HealthListener}): HttpService {
		return new HttpService(TargetConnections.create(origin, options));
	}

	private constructor(private readonly connections: TargetConnections) {}

	async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
		if (call.idempotent) {
			return this.#sendCall(this.connections.pool, call, signal);
		}

		const client = new Client(this.connections.origin, {headersTimeout: 0, bodyTimeout: 0});
		try {
			return await this.#sendCall(client, call, signal);
		} finally {
			void client.destroy();
		}
	}

	/** Uses a new connection, because the call to look up may have been lost on a half-open one. */
	async lookup(key: string, signal?: AbortSignal): Promise<ServiceReply | undefined> {
		const client = new Client(this.connections.origin);
		try {
			const reply = await this.connections.sendControlCall({
				method: 'GET', path: `/v1/lookup?key=${encodeURIComponent(key)}`, dispatcher: client, signal,
			}) as {found: boolean; reply?: unknown};
			return reply.found ? toServiceReply(replySchema.parse(reply.reply)) : undefined;
		} finally {
			void client.destroy();
		}
	}

	async load(): Promise<TargetLoad> {
		return this.connections.load();
	}

	async health(): Promise<TargetHealth> {
		return this.connections.health();
	}

	renewConnections(): void {
		this.connections.renew();
	}

	/** Closes the pooled connections and aborts calls in flight on them. */
	async close(): Promise<void> {
		await this.connections.close();
	}

	async #sendCall(dispatcher: Dispatcher, call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
		let status: number;
		let body: unknown;
		try {
			const res = await dispatcher.request({
				method: 'POST',
				path: '/v1/call',
				headers: {'content-type': 'application/json'},
				body: JSON.stringify({
					request_id: call.requestId,
					stage: call.stage,
					attempt: call.attempt,
					team: call.team,
					share_class: call.shareClass,
					kind: call.kind,
					input: call.input,
					idempotency_key: call.idempotencyKey,
					remaining_ms: Math.max(0, Math.round(call.remainingMs)),
				}),
				signal,
			});
			this.connections.onHealth(parseHealthHeaders(res.headers));
			status = res.statusCode;
			body = await res.body.json();
		} catch (err) {
			throw TargetError.create(classifyCallError(err), `Cannot call ${this.connections.origin}: ${errorMessage(err)}`, err);
		}

		if (status !== 200) {
			throw TargetError.create(status === 503 ? 'refused' : 'failed', `Cannot call ${this.connections.origin}: the service answered ${status}`);
		}

		const reply = replySchema.safeParse(body);
		if (!reply.success) {
			throw TargetError.create('failed', `Cannot call ${this.connections.origin}: the reply is malformed`, reply.error);
		}

		return toServiceReply(reply.data);
	}
}

function toServiceReply(wire: z.infer<typeof replySchema>): ServiceReply {
	return {
		requestId: wire.request_id, stage: wire.stage, attempt: wire.attempt, output: wire.output,
	};
}
