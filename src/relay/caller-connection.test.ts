import {Buffer} from 'node:buffer';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {connect, type AddressInfo, type Socket} from 'node:net';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {
	afterEach, beforeEach, describe, expect, it,
} from 'vitest';
import {SystemClock} from '../clock/index.js';
import {ConnectionTracker} from '../http/index.js';
import {Random} from '../random/index.js';
import {CallerConnection} from './caller-connection.js';
import {TurnBudget} from './turn-budget.js';
import {waitForTurn} from './wait-for-turn.js';

const seed = 43;

/** Encodes a request whose body comes with a length or in chunks of random sizes. */
function encode(random: Random, body: string): string {
	const head = 'POST / HTTP/1.1\r\nhost: a\r\n';
	if (random.float() < 0.5) {
		return `${head}content-length: ${body.length}\r\n\r\n${body}`;
	}

	let text = `${head}transfer-encoding: chunked\r\n\r\n`;
	for (let offset = 0; offset < body.length;) {
		const chunk = body.slice(offset, offset + 1 + Math.floor(random.float() * 5000));
		text += `${chunk.length.toString(16)}\r\n${chunk}\r\n`;
		offset += chunk.length;
	}

	return `${text}0\r\n\r\n`;
}

// Guards against FAULT and CONFIG of issue 43: requests that callers did not wait for used up the memory, and chunks of one
// byte kept an entry VM from answering anybody for seconds.
describe('CallerConnection', () => {
	let server: Server;
	let connections: ConnectionTracker;
	let connection: CallerConnection;
	let handle: (req: IncomingMessage, res: ServerResponse) => void;
	const sockets: Socket[] = [];
	let running = 0;
	let mostRunning = 0;

	const countEnd = () => {
		running--;
	};

	async function run(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (await waitForTurn(req, res, {connections, connection})) {
			mostRunning = Math.max(mostRunning, ++running);
			res.on('close', countEnd);
			handle(req, res);
		}
	}

	beforeEach(async () => {
		running = 0;
		mostRunning = 0;
		const clock = SystemClock.create();
		const turnBudget = TurnBudget.create({clock});
		server = createServer((req, res) => {
			void run(req, res);
		});
		connections = ConnectionTracker.create(server);
		server.on('connection', (socket: Socket) => {
			connection = CallerConnection.create(socket, {clock, turnBudget});
		});
		await new Promise<void>(resolve => {
			server.listen(0, '127.0.0.1', resolve);
		});
	});

	afterEach(() => {
		for (const socket of sockets.splice(0)) {
			socket.destroy();
		}

		server.closeAllConnections();
		server.close();
	});

	function open() {
		const socket = connect((server.address() as AddressInfo).port, '127.0.0.1');
		sockets.push(socket);
		const seen = {text: ''};
		socket.on('data', chunk => {
			seen.text += chunk.toString('latin1');
		});
		socket.on('error', () => undefined);
		return {socket, seen};
	}

	async function waitUntil(condition: () => boolean): Promise<void> {
		for (const endMs = Date.now() + 15_000; !condition();) {
			if (Date.now() > endMs) {
				throw new Error('Cannot continue the test: a condition was not met in time');
			}

			await sleep(5);
		}
	}

	/** Reads a request now and then only, and answers with its body. */
	async function echo(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const chunks: Buffer[] = [];
		for await (const chunk of req) {
			chunks.push(chunk as Buffer);
			if (chunks.length % 8 === 0) {
				const release = connection.hold();
				await nextTurn();
				release();
			}
		}

		const body = Buffer.concat(chunks);
		res.end(`${body.length}:${body.toString()};`);
	}

	it(`passes on requests unchanged, in their order and one by one, however they are cut (seed ${seed})`, async () => {
		handle = (req, res) => {
			void echo(req, res);
		};

		const random = Random.create(seed);
		const bodies = Array.from({length: 60}, (_, index) => `${index}-`.repeat(Math.floor((random.float() ** 4) * 40_000)));
		const text = bodies.map(body => encode(random, body)).join('');
		const {socket, seen} = open();
		for (let offset = 0; offset < text.length;) {
			const part = text.slice(offset, offset + 1 + Math.floor((random.float() ** 3) * 200_000));
			socket.write(part);
			offset += part.length;
			await sleep(1);
		}

		const count = () => seen.text.split('HTTP/1.1 200').length - 1;
		await waitUntil(() => count() === bodies.length && seen.text.endsWith(';'));
		const answers = [...seen.text.matchAll(/\r\n\r\n\d+:([^;]*);/g)].map(([, body]) => body);
		expect(answers).toEqual(bodies);
		expect(mostRunning).toBe(1);
	});

	// Guards against 400 in response to a whole request whose caller closes its side of the connection behind it.
	it.each([100, 20_000, 200_000].flatMap(bodyBytes => [0, 100].map(heldMs => [bodyBytes, heldMs] as const)))('takes a request of %d bytes that is held for %d ms for a whole one at the end behind it', async (bodyBytes, heldMs) => {
		handle = req => {
			req.on('error', () => undefined).resume();
			if (heldMs > 0) {
				setTimeout(connection.hold(), heldMs);
			}
		};

		const clientErrors: Error[] = [];
		server.on('clientError', (err, socket) => {
			clientErrors.push(err);
			socket.destroy();
		});
		const {socket, seen} = open();
		socket.end(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n${'p'.repeat(bodyBytes)}`);
		await waitUntil(() => socket.closed);
		expect([clientErrors, seen.text]).toEqual([[], '']);
	});

	// Guards against an end that overtakes bytes which wait for their turn: the HTTP server resumes the connection when the
	// body is read, and Node.js emits the end before it tells of that.
	it.each([20_000, 200_000])('takes a request of %d bytes whose body is read while its connection is held for a whole one', async bodyBytes => {
		let receivedBytes = 0;
		server.prependListener('request', (req: IncomingMessage) => {
			setTimeout(connection.hold(), 100);
			setTimeout(() => {
				req.on('error', () => undefined).on('data', (chunk: Buffer) => {
					receivedBytes += chunk.length;
				});
			}, 50);
		});
		handle = () => undefined;
		const clientErrors: Error[] = [];
		server.on('clientError', (err, socket) => {
			clientErrors.push(err);
			socket.destroy();
		});
		const {socket} = open();
		socket.end(`POST / HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n${'p'.repeat(bodyBytes)}`);
		await waitUntil(() => socket.closed);
		expect([clientErrors, receivedBytes]).toEqual([[], bodyBytes]);
	});

	it('reads no more than a little from a caller whose first request is not answered', async () => {
		const responses: ServerResponse[] = [];
		handle = (req, res) => {
			responses.push(res);
		};

		const {socket} = open();
		const request = 'GET / HTTP/1.1\r\nhost: a\r\n\r\n';
		let isBlocked = false;
		for (let index = 0; index < 2000 && !isBlocked; index++) {
			isBlocked = !socket.write(request.repeat(1000));
			await nextTurn();
		}

		await sleep(200);
		expect([responses.length, isBlocked]).toEqual([1, true]);
		responses[0]!.end();
		await waitUntil(() => responses.length === 2);
	});

	it('does not run what waits behind a request whose connection has been closed', async () => {
		const responses: ServerResponse[] = [];
		handle = (req, res) => {
			responses.push(res);
		};

		const {socket} = open();
		socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n'.repeat(3));
		await waitUntil(() => responses.length === 1);
		responses[0]!.destroy();
		await waitUntil(() => responses[0]!.closed && socket.closed);
		await nextTurn();
		expect(responses).toHaveLength(1);
	});

	it('notices that a caller has left while its request is in progress', async () => {
		let hasLeft = false;
		handle = (req, res) => {
			res.on('close', () => {
				hasLeft = true;
			});
		};

		const {socket} = open();
		socket.write('GET / HTTP/1.1\r\nhost: a\r\n\r\n');
		await waitUntil(() => running === 1);
		socket.destroy();
		await waitUntil(() => hasLeft);
	});

	it('answers what is no request, and closes', async () => {
		const {socket, seen} = open();
		socket.write('nonsense\r\n\r\n'.repeat(10_000));
		await waitUntil(() => socket.closed);
		expect(seen.text).toMatch(/^HTTP\/1\.1 400 /);
	});
});
