import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type AddressInfo} from 'node:net';
import {expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {startExchange} from './target-exchange.js';
import {TargetLiveness} from './target-liveness.js';
import {TargetPools} from './target-pools.js';

// Guards against a reply that a target sent before it ended, and that is read after that, as proof of its next start.
it.each([true, false])('knows a target to have been running when the latest connection was started, before a request is sent on it (a new one for each: %s)', async usesNewConnection => {
	const server = createServer(socket => socket.destroy()).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const address = `127.0.0.1:${(server.address() as AddressInfo).port}`;
	const clock = ManualClock.create({now: 1000});
	const liveness = TargetLiveness.create(clock);
	const pools = TargetPools.create(liveness);
	const recordLateReply = liveness.begin(address);
	const ignore = () => undefined;
	const send = async () => new Promise<unknown>(resolve => {
		startExchange(pools, {
			address, method: 'GET', path: '/', headers: [], body: Buffer.alloc(0), usesNewConnection,
		}, {
			onStart() {
				resolve(liveness.latestMs(address));
			},
			onHead: ignore, onData: ignore, onEnd: ignore, onError: resolve,
		});
		void clock.advance(500);
	});
	expect([await send(), await send()]).toEqual([1000, 1500]);
	server.close();
	await once(server, 'close');
	expect(await send()).toBeInstanceOf(Error);
	recordLateReply();
	expect([liveness.latestMs(address), liveness.latestMs('b:1')]).toEqual([1500, -Infinity]);
	pools.destroy();
});
