import type {Dispatcher, Pool} from 'undici';
import {errorMessage, GuavamillError} from '../errors/index.js';
import {linkController} from '../signals/index.js';
import type {TargetHealth, TargetLoad} from './engine-port.js';
import {
	controlTimeoutMs, createPool, healthSchema, loadSchema, parseHealthHeaders, type HealthListener,
} from './http-common.js';

/** Control call to a target. `dispatcher` replaces the pool when a new connection is needed. @internal */
export interface ControlCall {
	readonly method: 'GET' | 'POST';
	readonly path: string;
	readonly body?: unknown;
	readonly dispatcher?: Dispatcher;
	readonly signal?: AbortSignal | undefined;
}

/**
 * Connection pool of one target and the control calls over it. The pool is created on first use.
 *
 * @internal
 */
export class TargetConnections {
	static create(origin: string, options: {connections: number; onHealth?: HealthListener}): TargetConnections {
		return new TargetConnections(origin, options.connections, options.onHealth ?? (() => undefined));
	}

	#pool: Pool | undefined;

	private constructor(readonly origin: string, private readonly connections: number, readonly onHealth: HealthListener) {}

	/** Created on first use: a pool takes about 20 KB, and most entry VMs never call most targets. */
	get pool(): Pool {
		this.#pool ??= createPool(this.origin, this.connections);
		return this.#pool;
	}

	/** Opens new connections for later calls; calls in progress keep theirs. */
	renew(): void {
		const previous = this.#pool;
		this.#pool = undefined;
		void previous?.close();
	}

	async close(): Promise<void> {
		await this.#pool?.destroy();
	}

	async load(): Promise<TargetLoad> {
		return loadSchema.parse(await this.sendControlCall({method: 'GET', path: '/v1/load'}));
	}

	async health(): Promise<TargetHealth> {
		const health = healthSchema.parse(await this.sendControlCall({method: 'GET', path: '/v1/health'}));
		this.onHealth(health);
		return health;
	}

	/** Sends a control call and returns the JSON body of the reply; throws `GuavamillError` on an error or timeout. */
	async sendControlCall(call: ControlCall): Promise<unknown> {
		const timeout = AbortSignal.timeout(controlTimeoutMs);
		const {controller, unlink} = linkController(call.signal ? [call.signal, timeout] : [timeout]);
		try {
			const res = await (call.dispatcher ?? this.pool).request({
				origin: this.origin,
				method: call.method,
				path: call.path,
				signal: controller.signal,
				...(call.body === undefined ? {} : {headers: {'content-type': 'application/json'}, body: JSON.stringify(call.body)}),
			});
			this.onHealth(parseHealthHeaders(res.headers));
			return await res.body.json();
		} catch (err) {
			throw new GuavamillError(`Cannot reach the target at ${this.origin}: ${errorMessage(err)}`, {cause: err});
		} finally {
			unlink();
		}
	}
}
