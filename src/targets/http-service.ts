import {Client, type Dispatcher} from 'undici';
import {z} from 'zod';
import {errorMessage} from '../errors/index.js';
import type {TargetHealth, TargetLoad} from './engine-port.js';
import {callFailure, readHealthHeaders, type HealthListener} from './http-common.js';
import type {ServiceCall, ServicePort, ServiceReply} from './service-port.js';
import {TargetConnections} from './target-connections.js';
import {TargetError} from './target-error.js';

const replySchema = z.object({
	request_id: z.string(), stage: z.string(), attempt: z.number(), output: z.string(),
});

/**
 * Service over HTTP. Idempotent calls share a pool of connections; each non-idempotent call opens a fresh one,
 * because an idle connection may be half open and would leave the outcome unknown.
 *
 * @example
 * const service = HttpService.create('http://127.0.0.1:7301', {connections: 8});
 */
export class HttpService implements ServicePort {
	/** Creates a client; `onHealth` is told the start id and draining flag of every reply. */
	static create(origin: string, options: {connections: number; onHealth?: HealthListener}): HttpService {
		return new HttpService(TargetConnections.create(origin, options));
	}

	private constructor(private readonly target: TargetConnections) {}

	async call(call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
		if (call.idempotent) {
			return this.#callOn(this.target.pool, call, signal);
		}

		const client = new Client(this.target.origin, {headersTimeout: 0, bodyTimeout: 0});
		try {
			return await this.#callOn(client, call, signal);
		} finally {
			void client.destroy();
		}
	}

	/** Opens a fresh connection: the call that is looked up may have been lost on a half-open one. */
	async lookup(key: string, signal?: AbortSignal): Promise<ServiceReply | undefined> {
		const client = new Client(this.target.origin);
		try {
			const reply = await this.target.control({
				method: 'GET', path: `/v1/lookup?key=${encodeURIComponent(key)}`, dispatcher: client, signal,
			}) as {found: boolean; reply?: unknown};
			return reply.found ? toReply(replySchema.parse(reply.reply)) : undefined;
		} finally {
			void client.destroy();
		}
	}

	async load(): Promise<TargetLoad> {
		return this.target.load();
	}

	async health(): Promise<TargetHealth> {
		return this.target.health();
	}

	renew(): void {
		this.target.renew();
	}

	/** Closes the connections. */
	async close(): Promise<void> {
		await this.target.close();
	}

	async #callOn(dispatcher: Dispatcher, call: ServiceCall, signal: AbortSignal): Promise<ServiceReply> {
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
			this.target.onHealth(readHealthHeaders(res.headers));
			status = res.statusCode;
			body = await res.body.json();
		} catch (err) {
			throw TargetError.create(callFailure(err), `Cannot call ${this.target.origin}: ${errorMessage(err)}`, err);
		}

		if (status !== 200) {
			throw TargetError.create(status === 503 ? 'refused' : 'failed', `Cannot call ${this.target.origin}: the service answered ${status}`);
		}

		const reply = replySchema.safeParse(body);
		if (!reply.success) {
			throw TargetError.create('failed', `Cannot call ${this.target.origin}: the reply is malformed`, reply.error);
		}

		return toReply(reply.data);
	}
}

function toReply(wire: z.infer<typeof replySchema>): ServiceReply {
	return {
		requestId: wire.request_id, stage: wire.stage, attempt: wire.attempt, output: wire.output,
	};
}
