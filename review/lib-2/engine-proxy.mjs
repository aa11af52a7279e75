import {connect, createServer} from 'node:net';

/** A way to an engine, which can be cut: open channels live on then, and new ones are refused. */
export class EngineProxy {
	static async create(targetAddress, host = '127.0.0.1') {
		const proxy = new EngineProxy(targetAddress, host);
		await proxy.listen(0);
		return proxy;
	}

	constructor(targetAddress, host) {
		this.host = host;
		const [targetHost, targetPort] = targetAddress.split(':');
		this.target = {
			host: targetHost, port: Number(targetPort), allowHalfOpen: true, noDelay: true,
		};
		this.sockets = new Set();
	}

	get address() {
		return `${this.host}:${this.port}`;
	}

	/** Lets new channels through. */
	async listen(port = this.port) {
		this.server = createServer({allowHalfOpen: true, noDelay: true}, socket => {
			this.join(socket);
		});
		await new Promise((resolve, reject) => {
			this.server.once('error', reject);
			this.server.listen(port, this.host, resolve);
		});
		this.port = this.server.address().port;
	}

	/** Refuses new channels; open ones live on. */
	refuseNew() {
		// The port is free at once: only the callback waits for open channels.
		this.server.close();
	}

	join(socket) {
		const other = connect(this.target);
		for (const [from, to] of [[socket, other], [other, socket]]) {
			this.sockets.add(from);
			from.pipe(to);
			from.on('error', () => {
				to.resetAndDestroy();
			});
			from.on('close', () => {
				this.sockets.delete(from);
			});
		}
	}

	close() {
		this.server.close();
		for (const socket of this.sockets) {
			socket.destroy();
		}
	}
}
