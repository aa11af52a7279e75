import {Pool} from 'undici';
import type {Ms} from '../clock/index.js';
import {createCloseAwareConnector} from './close-aware-connector.js';

/** Connect timeout; the slowest round trips between regions take about 40 ms. */
const connectTimeoutMs: Ms = 400;
/** Idle timeout of connections to targets that send no keep-alive timeout. */
const keepAliveMs: Ms = 4000;
/** Subtracted from a target's keep-alive timeout, so that no request is sent on a connection that the target is closing. */
const keepAliveMarginMs: Ms = 1000;
/** Maximum number of connections from one entry VM to one target. */
const maxConnections = 64;

/** Options of all connections to targets. */
export const connectOptions = {
	connect: createCloseAwareConnector(connectTimeoutMs), pipelining: 1, keepAliveTimeout: keepAliveMs, keepAliveTimeoutThreshold: keepAliveMarginMs,
} as const;

/**
 * Pools of keep-alive connections to targets, by address.
 *
 * @example
 * const pools = TargetPools.create();
 * pools.get('10.1.0.9:8080');
 */
export class TargetPools {
	static create(): TargetPools {
		return new TargetPools();
	}

	readonly #pools = new Map<string, Pool>();

	private constructor() {}

	/** Returns the pool of an address, created on first use. */
	get(address: string): Pool {
		let pool = this.#pools.get(address);
		if (!pool) {
			pool = new Pool(`http://${address}`, {...connectOptions, connections: maxConnections});
			this.#pools.set(address, pool);
		}

		return pool;
	}

	/** Removes the pool of an address; its connections close once their requests have ended. */
	drop(address: string): void {
		const pool = this.#pools.get(address);
		this.#pools.delete(address);
		void pool?.close();
	}

	/** Closes all connections immediately. */
	destroy(): void {
		for (const pool of this.#pools.values()) {
			void pool.destroy();
		}

		this.#pools.clear();
	}
}
