import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {DeclarationSet} from '../config/index.js';
import type {CacheEvent, Target} from '../targets/index.js';
import {FakeTargets} from '../../test/support/fake-targets.js';
import {policyDeclarations} from '../../test/support/policy-declarations.js';
import {CacheEventPoller} from './cache-event-poller.js';
import {PrefixIndex} from './prefix-index.js';

// Guards against evictions that never reach the index, against polling that stops after one failed engine, and against
// traffic that grows with the number of engines.
test('engines with indexed prefixes are polled in round-robin order', async () => {
	const clock = ManualClock.create();
	const index = PrefixIndex.create();
	const engines = FakeTargets.create(DeclarationSet.create(policyDeclarations({teams: {}, targets: {here: 8}, slots: 8}))).pool('pool');
	const polled: string[] = [];
	for (const target of engines) {
		target.engine = {
			async cacheEvents(after: number): Promise<{startId: string; events: CacheEvent[]}> {
				polled.push(target.name);
				if (target.name === 'here-1') {
					throw new Error('Cannot get cache events: the engine is down');
				}

				return {
					startId: 's1', events: after > 0
						? []
						: [{
							sequence: 1, type: 'evicted', prefix: 'prefix', tokens: 1,
						}],
				};
			},
		} as unknown as Target['engine'];
	}

	for (const target of engines.slice(0, 6)) {
		index.recordDispatch(target, [{hash: 'prefix', tokens: 1}, {hash: 'longer', tokens: 1}]);
	}

	const poller = CacheEventPoller.create({clock, index, engines: () => engines});
	poller.start();
	await clock.advance(2500);
	expect(polled).toEqual(['here-1', 'here-2', 'here-3', 'here-4', 'here-5', 'here-6', 'here-1', 'here-2']);
	expect(engines.map(({name}) => index.size(name))).toEqual([2, 1, 1, 1, 1, 1, 0, 0]);
	poller.stop();
	await clock.advance(10_000);
	expect(polled).toHaveLength(8);
});
