import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Requests in progress on a connection, its bytes up to the end of its last one, and the response to its latest one. */
interface ConnectionState {
	activeRequests: number;
	bytesRead: number;
	latest: ServerResponse | undefined;
}

/** Responses behind which others on the same connection wait. */
const followed = new WeakSet<ServerResponse>();
/** Tells of responses whether more may have been sent on the connection than is known. */
const furtherChecks = new WeakMap<ServerResponse, () => boolean>();

/** Whether a further request has arrived on the connection of a response, which would get no answer if it closed the connection. */
export function isFollowed(res: ServerResponse): boolean {
	return followed.has(res);
}

/**
 * Like {@link isFollowed}; `true` as well while it is not known: bytes of the connection are not parsed or not read yet, or
 * the rest of a request has not arrived whose caller did not wait for the response before.
 */
export function mayBeFollowed(res: ServerResponse): boolean {
	return isFollowed(res) || furtherChecks.get(res)?.() === true;
}

/** Options of {@link ConnectionTracker}. */
export interface ConnectionTrackerOptions {
	/** Returns the bytes of a connection that have been received and not been parsed yet; 0 by default. */
	readonly unparsedBytes?: (socket: Socket) => number;
	/** Whether a connection is not read for now, so that more may have arrived than is known; `false` by default. */
	readonly isDeferred?: (socket: Socket) => boolean;
}

/**
 * Tracks which connections of a server are idle. Unlike `Server.closeIdleConnections`, it counts a request as in progress
 * until its response is written, not only until the response is complete in memory.
 *
 * @example
 * const tracker = ConnectionTracker.create(server);
 * tracker.closeIdle();
 */
export class ConnectionTracker {
	/** Tracks the connections that the server accepts from now on. */
	static create(server: Server, options: ConnectionTrackerOptions = {}): ConnectionTracker {
		return new ConnectionTracker(server, options);
	}

	/** Number of connections and requests that have arrived so far. */
	arrivals = 0;
	readonly #connections = new Map<Socket, ConnectionState>();
	/** Responses that come before others on the same connection and were not written when these were requested. */
	readonly #previous = new WeakMap<ServerResponse, ServerResponse>();

	private constructor(server: Server, private readonly options: ConnectionTrackerOptions) {
		server.on('connection', (socket: Socket) => {
			this.arrivals++;
			this.#connections.set(socket, {activeRequests: 0, bytesRead: 0, latest: undefined});
			// Each request that waits for those before it adds a listener for that time.
			socket.setMaxListeners(0);
			socket.once('close', () => {
				this.#connections.delete(socket);
			});
			// Before the HTTP server, which ends the connection in order: that would complete a response without a length.
			socket.prependOnceListener('end', () => {
				if (this.#isWriting(socket)) {
					socket.resetAndDestroy();
				}
			});
		});
		// Before the listener that handles the request.
		for (const event of ['request', 'checkContinue']) {
			server.prependListener(event, (req: IncomingMessage, res: ServerResponse) => {
				this.#track(req.socket, res);
			});
		}
	}

	/** Number of requests whose responses are not written yet, on open connections. */
	get activeRequests(): number {
		let count = 0;
		for (const [socket, {activeRequests}] of this.#connections) {
			// What has not been parsed yet is the next request.
			count += activeRequests === 0 && this.#unparsedBytes(socket) > 0 ? 1 : activeRequests;
		}

		return count;
	}

	/** Whether a response on a connection is in progress other than that to the request that is being received. */
	isAnswering(socket: Socket): boolean {
		const state = this.#connections.get(socket);
		if (!state || state.activeRequests === 0) {
			return false;
		}

		return state.activeRequests > 1 || state.latest!.headersSent || state.latest!.req.complete;
	}

	/** Whether a response before this one on the same connection is not written yet. */
	hasToWait(res: ServerResponse): boolean {
		return this.#previous.get(res)?.closed === false;
	}

	/**
	 * Resolves once the response before this one on the same connection is written, to whether the connection is still used
	 * then: a response that closes it, or that is broken off, is its last one.
	 */
	async waitForTurn(req: IncomingMessage, res: ServerResponse): Promise<boolean> {
		const {socket} = req;
		const previous = this.#previous.get(res);
		if (previous && !previous.closed && !socket.destroyed) {
			await new Promise<void>(resolve => {
				const end = () => {
					previous.off('close', end);
					socket.off('close', end);
					resolve();
				};

				// A response that never got its place on the connection is not told of the end of this.
				previous.on('close', end);
				socket.on('close', end);
			});
		}

		return !socket.destroyed && !socket.writableEnded;
	}

	/** Closes the connections without a request in progress, part of a request included. */
	closeIdle(): void {
		for (const [socket, {activeRequests, bytesRead}] of this.#connections) {
			if (activeRequests === 0 && socket.bytesRead === bytesRead) {
				socket.destroy();
			}
		}
	}

	/** Resets the connections with a response in progress: an orderly end would complete one without a length. */
	resetAnswering(): void {
		for (const socket of this.#connections.keys()) {
			if (this.isAnswering(socket)) {
				socket.resetAndDestroy();
			}
		}
	}

	/** Whether a response on a connection has begun and is not complete in memory. */
	#isWriting(socket: Socket): boolean {
		for (let res = this.#connections.get(socket)?.latest; res && !res.closed; res = this.#previous.get(res)) {
			if (res.headersSent && !res.writableEnded) {
				return true;
			}
		}

		return false;
	}

	#track(socket: Socket, res: ServerResponse): void {
		const state = this.#connections.get(socket);
		if (!state) {
			return;
		}

		const hasPrevious = state.latest?.closed === false;
		if (hasPrevious) {
			this.#previous.set(res, state.latest!);
			followed.add(state.latest!);
		}

		furtherChecks.set(res, () => this.#unparsedBytes(socket) > 0 || this.options.isDeferred?.(socket) === true || (hasPrevious && !res.req.complete));
		this.arrivals++;
		state.latest = res;
		state.activeRequests++;
		res.once('finish', () => {
			state.activeRequests--;
			state.bytesRead = socket.bytesRead - this.#unparsedBytes(socket);
		});
	}

	#unparsedBytes(socket: Socket): number {
		return this.options.unparsedBytes?.(socket) ?? 0;
	}
}
