import {createServer} from 'node:net';
import process from 'node:process';

/** Ports below the ephemeral range, so that no outgoing connection takes one while its listener is down. */
const firstPort = 20_000;
const portCount = 10_000;
/** Distance between the first ports of two test processes. */
const processStride = 97;

let next = (process.pid * processStride) % portCount;

/** Returns a free loopback address at which a stand-in can also start again later. */
export async function restartableAddress(): Promise<string> {
	for (let tries = 0; tries < portCount; tries++) {
		const port = firstPort + next;
		next = (next + 1) % portCount;
		if (await isFree(port)) {
			return `127.0.0.1:${port}`;
		}
	}

	throw new Error('Cannot find a free port: all are in use');
}

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.on('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
