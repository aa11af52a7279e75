// Partitions one process from engines: a proxy before each engine drops or resets the channels of that process.
import {readdirSync, readFileSync, readlinkSync} from 'node:fs';
import {connect, createServer} from 'node:net';

const localColumn = 1;
const remoteColumn = 2;
const inodeColumn = 9;

/** Returns the inode of the socket at the other end of a loopback connection. */
function peerInode({remotePort, localPort}) {
	const [peer, own] = [remotePort, localPort].map(port => `:${port.toString(16).toUpperCase().padStart(4, '0')}`);
	for (const line of readFileSync('/proc/net/tcp', 'utf8').split('\n')) {
		const columns = line.trim().split(/\s+/);
		if (columns[localColumn]?.endsWith(peer) && columns[remoteColumn]?.endsWith(own)) {
			return columns[inodeColumn];
		}
	}

	return undefined;
}

function ownsSocket(pid, inode) {
	const folder = `/proc/${pid}/fd`;
	return readdirSync(folder).some(fd => {
		try {
			return readlinkSync(`${folder}/${fd}`) === `socket:[${inode}]`;
		} catch {
			return false;
		}
	});
}

/** Proxies before engines. `how` is what happens to the channels of the process that is cut off: `reset` or `hang`. */
export class Partition {
	#cutPid;
	#servers = [];
	#channels = new Map();

	constructor(how) {
		this.how = how;
	}

	/** Starts a proxy before a port and returns its address. */
	async guard(port) {
		const server = createServer({pauseOnConnect: true}, socket => {
			this.#accept(socket, port);
		});
		await new Promise(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
		this.#servers.push(server);
		return `127.0.0.1:${server.address().port}`;
	}

	/** Cuts a process off. */
	cut(pid) {
		this.#cutPid = pid;
		for (const [socket, inode] of this.#channels) {
			if (ownsSocket(pid, inode)) {
				this.#disrupt(socket);
			}
		}
	}

	close() {
		for (const socket of this.#channels.keys()) {
			socket.destroy();
		}

		for (const server of this.#servers) {
			server.close();
		}
	}

	#accept(socket, port) {
		const inode = peerInode(socket);
		socket.on('error', () => undefined);
		socket.on('close', () => {
			this.#channels.delete(socket);
		});
		this.#channels.set(socket, inode);
		if (this.#cutPid !== undefined && ownsSocket(this.#cutPid, inode)) {
			this.#disrupt(socket);
			return;
		}

		const engine = connect(port, '127.0.0.1');
		engine.on('error', () => {
			socket.destroy();
		});
		engine.on('close', () => {
			socket.destroy();
		});
		socket.on('close', () => {
			engine.destroy();
		});
		socket.pipe(engine);
		engine.pipe(socket);
	}

	#disrupt(socket) {
		if (this.how === 'reset') {
			socket.resetAndDestroy();
		} else {
			socket.unpipe();
			socket.pause();
		}
	}
}
