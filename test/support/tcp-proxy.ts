import {once} from 'node:events';
import net from 'node:net';

/** How a proxy handles connections: `silence` keeps sockets open and forwards nothing, `cut` closes them. */
export type ProxyMode = 'forward' | 'silence' | 'cut';

/** TCP proxy on the loopback interface that can close, delay or silence connections. */
export class TcpProxy {
	/** Starts a proxy in front of a local port. */
	static async start(targetPort: number): Promise<TcpProxy> {
		const proxy = new TcpProxy(targetPort);
		proxy.#server.listen(0, '127.0.0.1');
		await once(proxy.#server, 'listening');
		return proxy;
	}

	/** Delay added to each chunk, in ms. */
	delayMs = 0;
	/** Number of connections accepted so far. */
	acceptedCount = 0;
	readonly #server = net.createServer(socket => {
		this.#connect(socket);
	});

	readonly #connections = new Set<{sockets: net.Socket[]; from: string; isSilent: boolean}>();
	readonly #modeByAddress = new Map<string, ProxyMode>();
	#mode: ProxyMode = 'forward';

	private constructor(private readonly targetPort: number) {}

	get port(): number {
		return (this.#server.address() as net.AddressInfo).port;
	}

	/** Silences the connections that are open now; new connections are forwarded. */
	silenceOpenConnections(): void {
		for (const connection of this.#connections) {
			connection.isSilent = true;
		}
	}

	/**
	 * Sets the mode of all connections, open and new, or of those from one source address. `forward` closes silenced
	 * connections, because bytes have been lost on them.
	 */
	setMode(mode: ProxyMode, from?: string): void {
		if (from === undefined) {
			this.#mode = mode;
		} else {
			this.#modeByAddress.set(from, mode);
		}

		for (const connection of this.#connections) {
			if (from !== undefined && connection.from !== from) {
				continue;
			}

			if (mode === 'silence') {
				connection.isSilent = true;
			} else if (mode === 'cut' || connection.isSilent) {
				this.#destroy(connection.sockets);
			}
		}
	}

	async close(): Promise<void> {
		for (const connection of this.#connections) {
			this.#destroy(connection.sockets);
		}

		this.#server.close();
		await once(this.#server, 'close');
	}

	#connect(client: net.Socket): void {
		this.acceptedCount++;
		const from = client.remoteAddress ?? '';
		const mode = this.#modeByAddress.get(from) ?? this.#mode;
		if (mode === 'cut') {
			client.on('error', () => undefined);
			client.destroy();
			return;
		}

		const upstream = net.connect(this.targetPort, '127.0.0.1');
		const connection = {sockets: [client, upstream], from, isSilent: mode === 'silence'};
		this.#connections.add(connection);
		for (const [source, destination] of [[client, upstream], [upstream, client]] as const) {
			source.on('data', bytes => {
				if (!connection.isSilent) {
					setTimeout(() => {
						destination.write(bytes);
					}, this.delayMs);
				}
			});
			source.on('error', () => undefined);
			source.on('close', () => {
				if (!connection.isSilent) {
					this.#destroy(connection.sockets);
				}

				this.#connections.delete(connection);
			});
		}
	}

	#destroy(sockets: readonly net.Socket[]): void {
		for (const socket of sockets) {
			socket.destroy();
		}
	}
}
