import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type ServerResponse} from 'node:http';
import {connect, type AddressInfo} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {unsentBytes} from './unsent-bytes.js';

const bodyBytes = 32 * 1024 * 1024;

// Guards against a version of Node.js in which the progress of a response cannot be seen: steady readers would count as silent.
it('shows how much of a body that was written at once the caller has not taken', async () => {
	let res: ServerResponse | undefined;
	const server = createServer((_req, serverRes) => {
		res = serverRes;
		serverRes.end(Buffer.alloc(bodyBytes));
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
	socket.pause();
	socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
	await sleep(300);
	const before = unsentBytes(res!);
	let readBytes = 0;
	socket.resume();
	socket.on('data', (chunk: Buffer) => {
		readBytes += chunk.length;
		if (readBytes > bodyBytes / 2) {
			socket.pause();
		}
	});
	await sleep(500);
	const after = unsentBytes(res!);
	expect([before > 0 && before < bodyBytes, after < before, after <= bodyBytes - readBytes]).toEqual([true, true, true]);
	socket.destroy();
	server.closeAllConnections();
	server.close();
});
