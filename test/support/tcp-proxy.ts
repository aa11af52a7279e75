import {once} from 'node:events';
import net from 'node:net';

/** How a proxy treats bytes: `silence` keeps the sockets open and forwards nothing. */
export type ProxyMode = 'forward' | 'silence' | 'cut';

/** A TCP proxy on loopback that cuts, delays or silences connections. */
export class TcpProxy {
	/** Starts a proxy in front of a local port. */
	static async start(targetPort: number): Promise<TcpProxy> {
		const proxy = new TcpProxy(targetPort);
		proxy.#server.listen(0, '127.0.0.1');
		await once(proxy.#server, 'listening');
		return proxy;
	}

	/** Delay of each chunk in ms. */
	delayMs = 0;
	/** Connections accepted so far. */
	accepted = 0;
	readonly #server = net.createServer(socket => {
		this.#connect(socket);
	});

	readonly #pairs = new Set<{sockets: net.Socket[]; from: string; isSilent: boolean}>();
	readonly #modes = new Map<string, ProxyMode>();
	#mode: ProxyMode = 'forward';

	private constructor(private readonly targetPort: number) {}

	get port(): number {
		return (this.#server.address() as net.AddressInfo).port;
	}

	/** Silences the connections that are open now; new ones work. */
	silenceOpen(): void {
		for (const pair of this.#pairs) {
			pair.isSilent = true;
		}
	}

	/**
	 * Sets the mode of all connections, open and new, or of those from one address; `cut` closes them, `forward` closes
	 * silent ones, which lack bytes.
	 */
	setMode(mode: ProxyMode, from?: string): void {
		if (from === undefined) {
			this.#mode = mode;
		} else {
			this.#modes.set(from, mode);
		}

		for (const pair of this.#pairs) {
			if (from !== undefined && pair.from !== from) {
				continue;
			}

			if (mode === 'silence') {
				pair.isSilent = true;
			} else if (mode === 'cut' || pair.isSilent) {
				this.#destroy(pair.sockets);
			}
		}
	}

	async close(): Promise<void> {
		for (const pair of this.#pairs) {
			this.#destroy(pair.sockets);
		}

		this.#server.close();
		await once(this.#server, 'close');
	}

	#connect(near: net.Socket): void {
		this.accepted++;
		const from = near.remoteAddress ?? '';
		const mode = this.#modes.get(from) ?? this.#mode;
		if (mode === 'cut') {
			near.on('error', () => undefined);
			near.destroy();
			return;
		}

		const far = net.connect(this.targetPort, '127.0.0.1');
		const pair = {sockets: [near, far], from, isSilent: mode === 'silence'};
		this.#pairs.add(pair);
		for (const [source, to] of [[near, far], [far, near]] as const) {
			source.on('data', bytes => {
				if (!pair.isSilent) {
					setTimeout(() => {
						to.write(bytes);
					}, this.delayMs);
				}
			});
			source.on('error', () => undefined);
			source.on('close', () => {
				if (!pair.isSilent) {
					this.#destroy(pair.sockets);
				}

				this.#pairs.delete(pair);
			});
		}
	}

	#destroy(sockets: readonly net.Socket[]): void {
		for (const socket of sockets) {
			socket.destroy();
		}
	}
}
