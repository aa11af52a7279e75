import {once} from 'node:events';
import net from 'node:net';
import {Registry} from 'prom-client';
import {expect, test} from 'vitest';
import {WebSocket} from 'ws';
import {SystemClock} from '../clock/index.js';
import {LinkMetrics} from './link-metrics.js';
import {LinkKey} from './link-key.js';
import {LinkListener} from './link-listener.js';
import {Link} from './link.js';

// Guards against memory exhaustion by unauthenticated connections, and against responses to plain HTTP requests.
test('unauthenticated connections are limited and plain HTTP requests receive no response', async () => {
	const closed: string[] = [];
	const listener = await LinkListener.create({
		listen: {host: '127.0.0.1', port: 0},
		maxUnauthenticated: 3,
		accept: socket => Link.create({
			socket, role: 'server', clock: SystemClock.create(), metrics: LinkMetrics.create(new Registry()), key: LinkKey.create('a shared key of the tests'), self: {name: 'a', zone: 'z', incarnation: 'i'},
			distanceTo: () => 'same_zone',
			onUp: () => undefined,
			onMessage: () => undefined,
			onClosed(_link, reason) {
				closed.push(reason);
			},
		}),
	});
	const clients = Array.from({length: 5}, () => new WebSocket(`ws://127.0.0.1:${listener.port}/links`));
	const received: unknown[] = [];
	for (const client of clients) {
		client.on('message', data => received.push(data));
		client.on('error', () => undefined);
	}

	await Promise.all(clients.map(async client => once(client, 'open')));
	clients[4]!.send(new Uint8Array(5));
	await once(clients[4]!, 'close');
	expect(closed.filter(reason => reason === 'evicted')).toHaveLength(2);
	expect(closed).toContain('bad_handshake');
	expect(received).toEqual([]);

	const plain = net.connect(listener.port, '127.0.0.1');
	plain.write('GET / HTTP/1.1\r\nHost: x\r\n\r\n');
	const bytes: unknown[] = [];
	plain.on('data', data => bytes.push(data));
	plain.on('error', () => undefined);
	await once(plain, 'close');
	expect(bytes).toEqual([]);
	await listener.close();
});
