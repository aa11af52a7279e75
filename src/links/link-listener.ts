import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {WebSocketServer} from 'ws';
import {closeServer, listen, type ListenAddress} from '../http/index.js';
import {maxFrameBytes, type Link} from './link.js';
import type {LinkSocket} from './link-socket.js';
import {wsLinkSocket} from './ws-link-socket.js';

/** Connections that are not authenticated yet; beyond it the oldest is closed, so that a flood cannot keep peers out. */
const maxUnauthenticated = 64;
/** Connections in all: the peers of a zone and the gateways, several times over. */
const maxConnections = 2048;
const requestTimeoutMs = 3000;

/**
 * Accepts connections of other entry VMs.
 *
 * @internal
 */
export class LinkListener {
	/** Listens; `accept` turns a socket into a link. Throws when the address cannot be bound. */
	static async create(options: {listen: ListenAddress; accept: (socket: LinkSocket) => Link; maxUnauthenticated?: number}): Promise<LinkListener> {
		const server = createServer({headersTimeout: requestTimeoutMs, requestTimeout: requestTimeoutMs, connectionsCheckingInterval: 1000}, (_req, res) => {
			// A plain HTTP request gets nothing.
			res.destroy();
		});
		server.maxConnections = maxConnections;
		const sockets = new WebSocketServer({
			server, maxPayload: maxFrameBytes, perMessageDeflate: false, clientTracking: false,
		});
		const listener = new LinkListener(server, options.accept, options.maxUnauthenticated ?? maxUnauthenticated);
		sockets.on('connection', socket => {
			listener.#accept(wsLinkSocket(socket));
		});
		// ws passes errors of its server on, and ends the process where nobody listens; `listen` below reports them.
		sockets.on('error', () => undefined);
		sockets.on('wsClientError', (_err, socket) => {
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
	readonly #links = new Set<Link>();

	private constructor(private readonly server: Server, private readonly accept: (socket: LinkSocket) => Link, private readonly maxUnauthenticated: number) {}

	async close(): Promise<void> {
		for (const link of this.#links) {
			link.close('shutdown');
		}

		await closeServer(this.server);
	}

	#accept(socket: LinkSocket): void {
		for (const link of this.#links) {
			if (link.state !== 'handshaking') {
				this.#links.delete(link);
			}
		}

		if (this.#links.size >= this.maxUnauthenticated) {
			const [oldest] = this.#links;
			this.#links.delete(oldest!);
			oldest!.close('evicted');
		}

		this.#links.add(this.accept(socket));
	}
}
