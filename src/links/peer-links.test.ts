import {Registry} from 'prom-client';
import {expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {EventRing} from '../events/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {Random} from '../random/index.js';
import {LinkKey} from './link-key.js';
import {LinkMetrics} from './link-metrics.js';
import {Membership} from './membership.js';
import {PeerLinks} from './peer-links.js';

// Guards against an entry VM that loses all its links, and makes none any more, after a single error while it looked after
// them: the timer of the heartbeats was set again only at the end of that work.
it('goes on looking after its links after an error', async () => {
	const clock = ManualClock.create();
	const self = {name: 'a', zone: 'riga-a', incarnation: '1'};
	const events = EventRing.create({process: 'a', clock, capacity: 10});
	let dials = 0;
	const links = PeerLinks.create({
		clock,
		random: Random.create(1),
		self,
		key: LinkKey.create('a key for tests of the links'),
		membership: Membership.create({self, peers: [{name: 'b', address: {host: '127.0.0.1', port: 1}}], events}),
		metrics: LinkMetrics.create(new Registry()),
		events,
		logger: silentLoggerFactory('links'),
		connect() {
			dials++;
			throw new Error('thrown by a dial');
		},
		distanceTo: () => 'same_zone',
		neededNames: () => ['b'],
		onUp: () => undefined,
		onMessage: () => undefined,
		onClosed: () => undefined,
		onDropped: () => undefined,
	});
	expect(() => {
		links.start();
	}).toThrow('thrown by a dial');
	for (let round = 0; round < 20; round++) {
		try {
			await clock.advance(500);
		} catch {
			// The error of a dial.
		}
	}

	expect(dials).toBeGreaterThan(2);
	links.close();
	const before = dials;
	await clock.advance(10_000);
	expect(dials).toBe(before);
});
