import {expect, test} from 'vitest';
import {Random} from '../random/index.js';
import type {ZoneDigest} from '../teams/index.js';
import {DigestDecoder} from './digest-decoder.js';
import {DigestEncoder} from './digest-encoder.js';

function randomDigest(random: Random, sequence: number): ZoneDigest {
	const work = new Map(Array.from({length: random.integer(0, 12)}, () => {
		const row = {
			team: `team-${random.integer(0, 9)}`, pool: `pool-${random.integer(0, 2)}`, inFlightMs: random.integer(1, 9) * 100, queuedMs: random.integer(0, 9) * 10,
		};
		return [`${row.team} ${row.pool}`, row];
	}));
	const inFlight = new Map(Array.from({length: random.integer(0, 5)}, () => {
		const target = `target-${random.integer(0, 9)}`;
		return [target, {target, calls: random.integer(1, 9)}];
	}));
	return {
		process: 'riga-2', incarnation: 'i2', sequence, work: [...work.values()], inFlight: [...inFlight.values()], draining: random.chance(0.2) ? [{target: 'target-1', startId: 's1'}] : [], configOffset: random.integer(0, 3),
	};
}

const sorted = (digest: ZoneDigest) => ({
	...digest,
	work: digest.work.toSorted((a, b) => `${a.team} ${a.pool}`.localeCompare(`${b.team} ${b.pool}`)),
	inFlight: digest.inFlight.toSorted((a, b) => a.target.localeCompare(b.target)),
});

// Guards against deltas that lead to another state than the whole digest.
test('deltas and whole digests lead to the same state', () => {
	const random = Random.create(11);
	const encoder = DigestEncoder.create();
	const decoder = DigestDecoder.create({name: 'riga-2', incarnation: 'i2'});
	for (let sequence = 1; sequence <= 200; sequence++) {
		const digest = randomDigest(random, sequence);
		const {full, delta} = encoder.next(digest);
		const late = DigestDecoder.create({name: 'riga-2', incarnation: 'i2'});
		expect(sorted(late.apply(full))).toEqual(sorted(digest));
		expect(sorted(decoder.apply(delta === undefined || random.chance(0.1) ? full : (delta === 'unchanged' ? undefined : delta)))).toEqual(sorted(digest));
	}
});

// Guards against an unchanged digest that costs as much as a whole one.
test('an unchanged digest has no content', () => {
	const encoder = DigestEncoder.create();
	const digest = randomDigest(Random.create(3), 1);
	encoder.next(digest);
	expect(encoder.next(digest).delta).toBe('unchanged');
	expect(encoder.next({...digest, configOffset: 9}).delta).toEqual({s: 3, b: 2, o: 9});
});

// Guards against a delta applied to the wrong state, or an index beyond the table of names.
test('a digest that does not fit is refused', () => {
	const decoder = DigestDecoder.create({name: 'riga-2', incarnation: 'i2'});
	decoder.apply({s: 1, n: ['a'], o: 1});
	expect(() => decoder.apply({s: 3, b: 2})).toThrow('it builds on 2, the last one was 1');
	expect(() => decoder.apply({s: 2, b: 1, f: [[7, 1]]})).toThrow('name 7 is not in its table');
});
