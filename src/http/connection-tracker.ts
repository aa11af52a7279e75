import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import type {Socket} from 'node:net';

/** Requests in progress on a connection, and its bytes up to the end of its last one. */
interface ConnectionState {
	activeRequests: number;
	bytesRead: number;
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
	static create(server: Server): ConnectionTracker {
		return new ConnectionTracker(server);
	}

	readonly #connections = new Map<Socket, ConnectionState>();

	private constructor(server: Server) {
		server.on('connection', (socket: Socket) => {
			this.#connections.set(socket, {activeRequests: 0, bytesRead: 0});
			socket.once('close', () => {
				this.#connections.delete(socket);
			});
		});
		for (const event of ['request', 'checkContinue']) {
			server.on(event, (req: IncomingMessage, res: ServerResponse) => {
				this.#track(req.socket, res);
			});
		}
	}

	/** Number of requests whose responses are not written yet, on open connections. */
	get activeRequests(): number {
		let count = 0;
		for (const state of this.#connections.values()) {
			count += state.activeRequests;
		}

		return count;
	}

	/** Closes the connections without a request in progress, part of a request included. */
	closeIdle(): void {
		for (const [socket, {activeRequests, bytesRead}] of this.#connections) {
			if (activeRequests === 0 && socket.bytesRead === bytesRead) {
				socket.destroy();
			}
		}
	}

	#track(socket: Socket, res: ServerResponse): void {
		const state = this.#connections.get(socket);
		if (!state) {
			return;
		}

		state.activeRequests++;
		res.once('finish', () => {
			state.activeRequests--;
			state.bytesRead = socket.bytesRead;
		});
	}
}
