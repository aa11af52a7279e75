import {Registry} from 'prom-client';
import {expect, test} from 'vitest';
import {MemorySocket} from '../../test/support/memory-sockets.js';
import {ManualClock} from '../clock/index.js';
import {LinkMetrics} from './link-metrics.js';
import type {LinkMessage} from './link-message.js';
import {LinkKey} from './link-key.js';
import {
	handshakeTimeoutMs, Link, pingIntervalMs, silenceTimeoutMs,
} from './link.js';

const drainingMessage: LinkMessage = {type: 'draining', target: 'engine-1', startId: 's1'};

const sharedKey = 'a shared key of the tests';

function connect({clientKey = sharedKey, expectedName = 'riga-2', maxQueueBytes = 1000, fastPingMs = 0} = {}) {
	const clock = ManualClock.create();
	const [clientSocket, serverSocket] = MemorySocket.pair();
	const registry = new Registry();
	const metrics = LinkMetrics.create(registry);
	const end = (role: 'client' | 'server', socket: MemorySocket, secret: string, name: string) => {
		const received: LinkMessage[] = [];
		const closed: string[] = [];
		const dropped: string[] = [];
		const fast = {isActive: false};
		const link = Link.create({
			socket, role, clock, metrics, maxQueueBytes, key: LinkKey.create(secret), self: {name, zone: 'riga-a', incarnation: name},
			...(role === 'client' ? {expectedName} : {}),
			...(fastPingMs === 0 ? {} : {fastPing: {intervalMs: fastPingMs, isActive: () => fast.isActive}}),
			distanceTo: () => 'same_zone',
			onUp: () => undefined,
			onMessage(_link, message) {
				received.push(message);
			},
			onClosed(_link, reason) {
				closed.push(reason);
			},
			onDropped(_link, cause) {
				dropped.push(cause);
			},
		});
		return {
			link, socket, received, closed, dropped, fast,
		};
	};

	const server = end('server', serverSocket, sharedKey, 'riga-2');
	const client = end('client', clientSocket, clientKey, 'riga-1');
	clientSocket.open();
	return {
		clock, client, server, registry,
	};
}

// Guards against lost messages, and against messages that are not counted by cause.
test('messages are delivered in both directions after the handshake', async () => {
	const {client, server, registry} = connect();
	expect(client.link.send(drainingMessage)).toBe(true);
	expect(server.link.send(drainingMessage)).toBe(true);
	expect([client.received, server.received]).toEqual([[drainingMessage], [drainingMessage]]);
	expect(await registry.metrics()).toMatch(/guavamill_link_messages_total{direction="received",cause="draining",distance="same_zone"} 2/);
});

// Guards against a client without the key that receives bytes or delivers messages.
test('a client with another key receives no reply', () => {
	const {client, server} = connect({clientKey: 'another key of the tests'});
	expect(server.closed).toEqual(['bad_handshake']);
	expect(server.socket.sent).toEqual([]);
	expect(client.link.send(drainingMessage)).toBe(false);
});

// Guards against connections that stay open without being authenticated.
test('a connection without a handshake is closed after the handshake timeout', async () => {
	const clock = ManualClock.create();
	const [socket] = MemorySocket.pair();
	const closed: string[] = [];
	Link.create({
		socket, role: 'server', clock, metrics: LinkMetrics.create(new Registry()), key: LinkKey.create('a shared key of the tests'), self: {name: 'a', zone: 'z', incarnation: 'i'},
		distanceTo: () => 'same_zone',
		onUp: () => undefined,
		onMessage: () => undefined,
		onClosed(_link, reason) {
			closed.push(reason);
		},
	});
	await clock.advance(handshakeTimeoutMs);
	expect(closed).toEqual(['handshake_timeout']);
});

// Guards against a link to the wrong VM after an address was reassigned.
test('a peer with an unexpected name is rejected', () => {
	expect(connect({expectedName: 'riga-9'}).client.closed).toEqual(['wrong_name']);
});

// Guards against the delivery of replayed frames.
test('a replayed frame closes the link', () => {
	const {client, server} = connect();
	client.link.send(drainingMessage);
	server.socket.deliver(client.socket.sent.at(-1)!);
	expect(server.closed).toEqual(['bad_frame']);
	expect(server.received).toEqual([drainingMessage]);
});

// Guards against half-open links that stay in use: the sockets are open, but no data arrives.
test('heartbeats keep a link up, and three intervals without a frame close it', async () => {
	const {clock, client, server} = connect();
	for (let interval = 0; interval < 10; interval++) {
		await clock.advance(pingIntervalMs);
		client.link.tick(false);
		server.link.tick(false);
	}

	expect([client.link.state, server.link.state]).toEqual(['up', 'up']);
	client.socket.isDelivering = false;
	await clock.advance(silenceTimeoutMs);
	server.link.tick(false);
	expect(server.closed).toEqual(['silent']);
});

// Guards against heartbeats of a whole cell at the rate that only its leader needs, and against a leader whose loss shows late.
test('only an end that promises frequent heartbeats has to send them', async () => {
	const fastPingMs = 100;
	const {clock, client, server} = connect({fastPingMs});
	client.fast.isActive = true;
	const sentBefore = [client.socket.sent.length, server.socket.sent.length];
	for (let interval = 0; interval < 20; interval++) {
		await clock.advance(fastPingMs);
		client.link.tick(false);
		server.link.tick(false);
	}

	expect([client.link.state, server.link.state]).toEqual(['up', 'up']);
	const sent = [client.socket.sent.length - sentBefore[0]!, server.socket.sent.length - sentBefore[1]!];
	// A heartbeat is due after four fifths of its interval.
	expect(sent).toEqual([20, 2000 / (0.8 * pingIntervalMs)]);
	client.socket.isDelivering = false;
	await clock.advance(3 * fastPingMs);
	client.link.tick(false);
	expect(client.closed).toEqual([]);
	server.link.tick(false);
	expect(server.closed).toEqual(['silent']);
});

// Guards against closing the link of a leader that has stopped leading and sends heartbeats less often.
test('an end that ends its promise says so at once', async () => {
	const fastPingMs = 100;
	const {clock, client, server} = connect({fastPingMs});
	client.fast.isActive = true;
	client.link.tick(false);
	client.fast.isActive = false;
	client.link.tick(false);
	await clock.advance(pingIntervalMs);
	server.link.tick(false);
	expect(server.closed).toEqual([]);
});

// Guards against closing links because this process was paused, while received frames have not been read yet.
test('a late tick keeps the link for one more interval', async () => {
	const {clock, server} = connect();
	await clock.advance(10_000);
	server.link.tick(true);
	expect(server.link.state).toBe('up');
	await clock.advance(pingIntervalMs);
	server.link.tick(false);
	expect(server.closed).toEqual(['silent']);
});

// Guards against unbounded growth of the queue, and against dropping forwarded requests.
test('a full queue drops digests but not forwarded requests', () => {
	const {client, server} = connect();
	client.socket.bufferedAmount = 1_000_000;
	const forward: LinkMessage = {
		type: 'forward', id: 1, requestId: 'r1', to: 'i', pipeline: 'p', body: 'x'.repeat(800), remainingMs: 1, hops: 0,
	};
	const digest: LinkMessage = {type: 'digest', digest: {s: 1, n: ['x'.repeat(150)]}};
	expect(client.link.send(digest)).toBe(true);
	expect(client.link.send(forward)).toBe(true);
	expect(client.dropped).toEqual(['digest']);
	expect(client.link.send(forward)).toBe(false);
	client.socket.bufferedAmount = 0;
	client.link.tick(false);
	expect(server.received.map(message => message.type)).toEqual(['forward']);
});
