import {describe, expect, it} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {RankCache} from '../links/index.js';
import {RelayTarget} from '../registry/index.js';
import {ColdWatch} from './cold-watch.js';

const targets = Array.from({length: 12}, (_, index) => RelayTarget.create({
	id: `e-${index}`, service: 'engines', address: `127.0.0.1:${index + 1}`, zone: `zone-${index % 2}`, slots: 4, isDraining: false, startedMs: 1,
}));
const members = new Map([['zone-0', ['vm-0', 'vm-1', 'vm-2', 'vm-3']], ['zone-1', ['vm-4']]]);

async function watch(names: readonly string[], {isWatched = (_: RelayTarget): boolean => false, isAtOnce = false} = {}) {
	const clock = ManualClock.create({now: 0});
	const checked: string[] = [];
	const seen: string[] = [];
	const ranks = RankCache.create();
	for (const self of names) {
		const started = ColdWatch.create({
			clock,
			self,
			targets: () => targets,
			watchersOf: zone => members.get(zone) ?? [],
			rank: (key, members) => ranks.of(key, members),
			isWatched,
			async checkHealth(target) {
				checked.push(target.id);
				return {result: 'alive', coldMs: 100};
			},
			onHealth(target) {
				seen.push(target.id);
			},
		});
		if (isAtOnce) {
			started.check();
		} else {
			started.start();
		}
	}

	await clock.advance(isAtOnce ? 0 : 600);
	return {checked, seen};
}

describe('ColdWatch', () => {
	it('has each target watched by two entry VMs of its zone, or the only one', async () => {
		const {checked, seen} = await watch(['vm-0', 'vm-1', 'vm-2', 'vm-3', 'vm-4']);
		expect(targets.map(({id}) => checked.filter(other => other === id).length)).toEqual(targets.map(({entry}) => entry.zone === 'zone-0' ? 2 : 1));
		expect(seen).toHaveLength(checked.length);
	});

	it('also watches targets that it could not reach', async () => {
		const {checked} = await watch(['vm-4'], {isWatched: target => target.id === 'e-0'});
		expect(checked.filter(id => id === 'e-0')).toHaveLength(1);
	});

	// Guards against requests that are rejected for an interval after each start, since old entries tell that targets are cold.
	it('asks at once when it is told to', async () => {
		const {seen} = await watch(['vm-4'], {isWatched: target => target.id === 'e-0', isAtOnce: true});
		expect(seen.filter(id => id === 'e-0')).toHaveLength(1);
	});
});
