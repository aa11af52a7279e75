import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type Socket} from 'node:net';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {ConnectionTracker, isFollowed, mayBeFollowed} from './connection-tracker.js';
import {closeServer, listen} from './listen.js';

/** More than the kernel buffers for a caller that does not read. */
const largeBytes = 32 * 1024 * 1024;

describe('ConnectionTracker', () => {
	let server: Server;
	let tracker: ConnectionTracker;
	let port: number;
	const sockets: Socket[] = [];

	beforeEach(async () => {
		server = createServer();
		tracker = ConnectionTracker.create(server);
		port = await listen(server, {host: '127.0.0.1', port: 0});
	});

	afterEach(async () => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		await closeServer(server);
	});

	/** Opens a connection, sends `text` and waits for the server's event. */
	async function open(text: string, event: 'connection' | 'request'): Promise<{socket: Socket; res: ServerResponse | undefined}> {
		const seen = once(server, event);
		const socket = connect(port, '127.0.0.1');
		sockets.push(socket);
		socket.on('error', () => undefined);
		socket.write(text);
		const [, res] = await seen as [unknown, ServerResponse | undefined];
		return {socket, res};
	}

	it('closes a connection that has been answered, and one without a request', async () => {
		const {socket, res} = await open('GET / HTTP/1.1\r\nhost: a\r\n\r\n', 'request');
		expect(tracker.activeRequests).toBe(1);
		tracker.closeIdle();
		res!.end('ok');
		await once(res!, 'finish');
		expect(tracker.activeRequests).toBe(0);
		const {socket: unused} = await open('', 'connection');
		const closed = Promise.all([once(socket.resume(), 'close'), once(unused.resume(), 'close')]);
		tracker.closeIdle();
		await closed;
	});

	// Guards against a connection that keeps a listener for each request it ever had behind another one.
	it('leaves no listener behind for requests that waited for those before', async () => {
		const responses: ServerResponse[] = [];
		let before: number | undefined;
		server.on('request', async (req: IncomingMessage, res: ServerResponse) => {
			before ??= req.socket.listenerCount('close');
			await tracker.waitForTurn(req, res);
			responses.push(res);
			res.end();
		});
		const {socket, res} = await open('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(20), 'request');
		const callerSocket = res!.req.socket;
		socket.resume();
		while (responses.length < 20) {
			await once(socket, 'data');
		}

		expect(callerSocket.listenerCount('close')).toBeLessThanOrEqual(before!);
	});

	it('keeps a connection on which a part of a request has arrived', async () => {
		const accepted = once(server, 'connection') as Promise<[Socket]>;
		const {socket} = await open('GET / HTTP/1.1\r\n', 'connection');
		const [serverSide] = await accepted;
		while (serverSide.bytesRead === 0) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		tracker.closeIdle();
		const requested = once(server, 'request') as Promise<[unknown, ServerResponse]>;
		socket.write('host: a\r\n\r\n');
		const [, res] = await requested;
		res.end('ok');
		const [data] = await once(socket, 'data') as [Buffer];
		expect(data.toString()).toContain('200 OK');
	});

	// Guards against responses that are cut since their caller reads slowly.
	it('keeps a connection whose response is complete but not written yet', async () => {
		const {socket, res} = await open('GET / HTTP/1.1\r\nhost: a\r\n\r\n', 'request');
		res!.end(Buffer.alloc(largeBytes));
		expect(tracker.activeRequests).toBe(1);
		tracker.closeIdle();
		let bytes = 0;
		socket.on('data', (chunk: Buffer) => {
			bytes += chunk.length;
		});
		await once(res!, 'finish');
		expect(tracker.activeRequests).toBe(0);
		tracker.closeIdle();
		await once(socket, 'close');
		expect(bytes).toBeGreaterThan(largeBytes);
	});

	// Guards against a response that closes its connection although a request behind it has been received.
	it('knows of requests behind a response, and of what may be one', async () => {
		let unparsedBytes = 0;
		let isDeferred = false;
		const other = createServer();
		ConnectionTracker.create(other, {unparsedBytes: () => unparsedBytes, isDeferred: () => isDeferred});
		const otherPort = await listen(other, {host: '127.0.0.1', port: 0});
		const responses: ServerResponse[] = [];
		other.on('request', (_req, res) => {
			responses.push(res);
		});
		const socket = connect(otherPort, '127.0.0.1');
		sockets.push(socket);
		const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
		socket.write(request);
		await once(other, 'request');
		const [first] = responses;
		expect([isFollowed(first!), mayBeFollowed(first!)]).toEqual([false, false]);
		unparsedBytes = 1;
		expect([isFollowed(first!), mayBeFollowed(first!)]).toEqual([false, true]);
		unparsedBytes = 0;
		isDeferred = true;
		expect([isFollowed(first!), mayBeFollowed(first!)]).toEqual([false, true]);
		isDeferred = false;
		socket.write(request);
		await once(other, 'request');
		expect(responses.map(res => [isFollowed(res), mayBeFollowed(res)])).toEqual([[true, true], [false, false]]);
		socket.write('POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\np');
		const [{socket: serverSide}, last] = await once(other, 'request') as [IncomingMessage, ServerResponse];
		expect([isFollowed(last), mayBeFollowed(last)]).toEqual([false, true]);
		socket.write('p');
		for (const {bytesRead} = serverSide; serverSide.bytesRead === bytesRead;) {
			await new Promise(resolve => {
				setImmediate(resolve);
			});
		}

		expect([isFollowed(last), mayBeFollowed(last)]).toEqual([false, false]);
		socket.destroy();
		other.closeAllConnections();
		await closeServer(other);
	});

	// Guards against requests that are passed on although the response before them closes their connection.
	it.each([
		{name: 'is written', end: (res: ServerResponse) => res.end('ok'), isUsed: true},
		{name: 'closes the connection', end: (res: ServerResponse) => res.setHeader('connection', 'close').end('ok'), isUsed: false},
		{name: 'is broken off', end: (res: ServerResponse) => res.socket!.resetAndDestroy(), isUsed: false},
	])('lets requests wait for the responses before them, until the first $name', async ({end, isUsed}) => {
		const requests: Array<{req: IncomingMessage; res: ServerResponse}> = [];
		const all = new Promise<void>(resolve => {
			server.on('request', (req, res) => {
				requests.push({req, res});
				if (requests.length === 3) {
					resolve();
				}
			});
		});
		await open('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(3), 'connection');
		await all;
		expect(requests.map(({res}) => tracker.hasToWait(res))).toEqual([false, true, true]);
		const [first, second, third] = requests;
		const turns = [second!, third!].map(async ({req, res}) => {
			const isTurn = await tracker.waitForTurn(req, res);
			res.end('ok');
			return isTurn;
		});
		end(first!.res);
		expect(await Promise.all(turns)).toEqual([isUsed, isUsed]);
	});
});
