import type {Socket} from 'node:net';
import {Pool, type buildConnector} from 'undici';
import {SystemClock, type Ms} from '../clock/index.js';
import {createCloseAwareConnector} from './close-aware-connector.js';
import type {TargetLiveness} from './target-liveness.js';

const clock = SystemClock.create();

/** Connect timeout; the slowest round trips between regions take about 40 ms. */
const connectTimeoutMs: Ms = 400;
/** Idle timeout of connections to targets that send no keep-alive timeout. */
const keepAliveMs: Ms = 4000;
/** Subtracted from a target's keep-alive timeout, so that no request is sent on a connection that the target is closing. */
const keepAliveMarginMs: Ms = 1000;
/** Maximum number of connections from one entry VM to one target. */
const maxConnections = 64;

/** Options of all connections to targets. */
const connectOptions = {
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
	/** With `liveness`, each connection to a target is recorded there. `onFirstBytes` is called with the time at which a connection was begun on which a target responds. */
	static create(liveness?: TargetLiveness, onFirstBytes?: (begunMs: Ms) => void): TargetPools {
		return new TargetPools(liveness, onFirstBytes);
	}

	readonly #pools = new Map<string, Pool>();
	/** Connections that their target has not ended, by address. */
	readonly #sockets = new Map<string, Set<Socket>>();

	private constructor(private readonly liveness: TargetLiveness | undefined, private readonly onFirstBytes: ((begunMs: Ms) => void) | undefined) {}

	/** Returns the options of connections to an address. */
	connectOptions(address: string) {
		const connect: buildConnector.connector = (options, callback) => {
			const begunMs = clock.now();
			const recordReply = this.liveness?.begin(address);
			connectOptions.connect(options, (...args: buildConnector.CallbackArgs) => {
				if (args[1]) {
					recordReply?.();
					this.#track(address, args[1], begunMs);
				}

				callback(...args);
			});
		};

		return {...connectOptions, connect};
	}

	/** Number of connections to an address that its target has not ended. */
	openConnections(address: string): number {
		return this.#sockets.get(address)?.size ?? 0;
	}

	/** Resolves with whether a new connection to an address can be made, over which nothing is sent. */
	async connect(address: string): Promise<boolean> {
		const [hostname, port] = address.split(':') as [string, string];
		return new Promise(resolve => {
			connectOptions.connect({hostname, port, protocol: 'http:'}, (_err, socket) => {
				socket?.destroy();
				resolve(socket !== null);
			});
		});
	}

	/** Returns the pool of an address, created on first use. */
	get(address: string): Pool {
		let pool = this.#pools.get(address);
		if (!pool) {
			pool = new Pool(`http://${address}`, {...this.connectOptions(address), connections: maxConnections});
			this.#pools.set(address, pool);
		}

		return pool;
	}

	#track(address: string, socket: Socket, begunMs: Ms): void {
		// A connection alone shows nothing: the kernel of a target, or of a proxy, accepts it.
		socket.once('readable', () => {
			if (socket.bytesRead > 0) {
				this.onFirstBytes?.(begunMs);
			}
		});
		const sockets = this.#sockets.get(address) ?? new Set();
		this.#sockets.set(address, sockets.add(socket));
		const remove = () => {
			sockets.delete(socket);
			if (sockets.size === 0 && this.#sockets.get(address) === sockets) {
				this.#sockets.delete(address);
			}
		};

		// Its end counts, also where this side holds the connection open.
		socket.once('end', remove);
		socket.once('close', remove);
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
