import {Pool} from 'undici';
import type {Ms} from '../clock/index.js';
import {connectCloseAware} from './close-aware-connector.js';

/** Idle connections are closed after this long where the target names no time of its own. */
const keepAliveMs: Ms = 4000;
/** A target's own time is cut by this much, so that a request does not cross its close. */
const keepAliveMarginMs: Ms = 1000;
/** Connections from one entry VM to one target. */
const maxConnections = 64;

/** Options of each connection to a target. */
export const connectOptions = {
	connect: connectCloseAware, pipelining: 1, keepAliveTimeout: keepAliveMs, keepAliveTimeoutThreshold: keepAliveMarginMs,
} as const;

/**
 * Kept connections to targets by address.
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

	get(address: string): Pool {
		let pool = this.#pools.get(address);
		if (!pool) {
			pool = new Pool(`http://${address}`, {...connectOptions, connections: maxConnections});
			this.#pools.set(address, pool);
		}

		return pool;
	}

	/** Closes the connections to an address once their calls have ended. */
	drop(address: string): void {
		const pool = this.#pools.get(address);
		this.#pools.delete(address);
		void pool?.close();
	}

	/** Closes every connection at once. */
	destroy(): void {
		for (const pool of this.#pools.values()) {
			void pool.destroy();
		}

		this.#pools.clear();
	}
}
