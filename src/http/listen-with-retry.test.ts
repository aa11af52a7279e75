import {createServer, type Server} from 'node:http';
import type {AddressInfo} from 'node:net';
import {
	afterEach, describe, expect, it,
} from 'vitest';
import {SystemClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {listenWithRetry} from './listen-with-retry.js';
import {closeServer, listen} from './listen.js';

const host = '127.0.0.1';
const clock = SystemClock.create();

describe('listenWithRetry', () => {
	const servers: Server[] = [];

	function create(): Server {
		const server = createServer();
		servers.push(server);
		return server;
	}

	async function start(server: Server, port: number, {timeoutMs = 10_000, signal, warnings = [], onTry}: {timeoutMs?: number; signal?: AbortSignal; warnings?: unknown[]; onTry?: () => void} = {}) {
		return listenWithRetry(server, {host, port}, {
			clock,
			logger: {
				...silentLoggerFactory('entry-vm'), warn(_message, fields) {
					warnings.push(fields);
					onTry?.();
				},
			},
			schedule: {timeoutMs, initialDelayMs: 10, maxDelayMs: 20},
			signal,
			purpose: 'callers',
		});
	}

	afterEach(async () => {
		await Promise.all(servers.splice(0).map(async server => closeServer(server)));
	});

	// Guards against a start that ends at the first try although its address is free a moment later.
	it('listens with the same server once the address is free', async () => {
		const holder = create();
		const port = await listen(holder, {host, port: 0});
		const server = create();
		const warnings: unknown[] = [];
		const port2 = await start(server, port, {
			warnings, onTry() {
				if (warnings.length === 5) {
					void closeServer(holder);
				}
			},
		});
		expect([port2, (server.address() as AddressInfo).port]).toEqual([port, port]);
		expect(warnings.length).toBeGreaterThanOrEqual(5);
		expect(server.listenerCount('listening') + server.listenerCount('error')).toBeLessThanOrEqual(2);
	});

	it('names the address and the cause once its time is used up', async () => {
		const port = await listen(create(), {host, port: 0});
		await expect(start(create(), port, {timeoutMs: 100})).rejects.toThrow(new RegExp(`^Cannot listen on 127\\.0\\.0\\.1:${port}: .*EADDRINUSE`, 'u'));
	});

	it('ends its tries when it is aborted', async () => {
		const port = await listen(create(), {host, port: 0});
		const controller = new AbortController();
		await expect(start(create(), port, {
			timeoutMs: 1e6, signal: controller.signal, onTry() {
				controller.abort();
			},
		})).rejects.toThrow(/EADDRINUSE/u);
	});

	it('makes one try at an address that no wait makes valid', async () => {
		const warnings: unknown[] = [];
		await expect(listenWithRetry(create(), {host, port: 70_000}, {
			clock,
			logger: {
				...silentLoggerFactory('entry-vm'), warn(message) {
					warnings.push(message);
				},
			},
			schedule: {timeoutMs: 1e6, initialDelayMs: 1e6, maxDelayMs: 1e6}, purpose: 'callers',
		})).rejects.toThrow(/^Cannot listen/u);
		expect(warnings).toEqual([]);
	});
});
