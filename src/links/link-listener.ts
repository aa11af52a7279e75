import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {WebSocketServer} from 'ws';
import {closeServer, listen, type ListenAddress} from '../http/index.js';
import {maxFrameBytes, type Link} from './link.js';
import type {LinkSocket} from './link-socket.js';
import {wsLinkSocket} from './ws-link-socket.js';

/**
 * Default limit on unauthenticated connections. The oldest one is closed when the limit is reached, so that a flood of
 * connections cannot lock out peers.
 */
const maxUnauthenticated = 64;
/** Limit on all connections; several times the number of peers in a zone plus gateways. */
const maxConnections = 2048;
/** Timeout for receiving the HTTP request that opens a WebSocket. */
const requestTimeoutMs = 3000;

/**
 * Accepts WebSocket connections from other entry VMs.
 *
 * @internal
 */
export class LinkListener {
	/** Starts listening. `accept` creates a link for each new socket. Throws if the address cannot be bound. */
	static async create(options: {listen: ListenAddress; accept: (socket: LinkSocket) => Link; maxUnauthenticated?: number}): Promise<LinkListener> {
		const server = createServer({headersTimeout: requestTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: 1000}, (_req, res) => {
			// Plain HTTP requests are closed without a response.
			res.destroy();
		});
		server.maxConnections = maxConnections;
		const webSocketServer = new WebSocketServer({
			server, maxPayload: maxFrameBytes, perMessageDeflate: false, clientTracking: false,
		});
		const listener = new LinkListener(server, options.accept, options.maxUnauthenticated ?? maxUnauthenticated);
		webSocketServer.on('connection', socket => {
			listener.#accept(wsLinkSocket(socket));
		});
		// ws re-emits errors of the HTTP server, and an unhandled one would end the process. `listen` below reports them.
		webSocketServer.on('error', () => undefined);
		webSocketServer.on('wsClientError', (_err, socket) => {
			socket.destroy();
		});
		server.on('clientError', (_err, socket) => {
			socket.destroy();
		});
		server.on('connection', (socket: Socket) => {
			socket.setNoDelay(true);
		});
		listener.port = await listen(server, options.listen);
		return listener;
	}

	port = 0;
	readonly #pendingLinks = new Set<Link>();

	private constructor(private readonly server: Server, private readonly accept: (socket: LinkSocket) => Link, private readonly maxUnauthenticated: number) {}

	/** Closes the links that are not authenticated yet, and stops listening. */
	async close(): Promise<void> {
		for (const link of this.#pendingLinks) {
			link.close('shutdown');
		}

		await closeServer(this.server);
	}

	#accept(socket: LinkSocket): void {
		for (const link of this.#pendingLinks) {
			if (link.state !== 'handshaking') {
				this.#pendingLinks.delete(link);
			}
		}

		if (this.#pendingLinks.size >= this.maxUnauthenticated) {
			const [oldest] = this.#pendingLinks;
			this.#pendingLinks.delete(oldest!);
			oldest!.close('evicted');
		}

		this.#pendingLinks.add(this.accept(socket));
	}
}
