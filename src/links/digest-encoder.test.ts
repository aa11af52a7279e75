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

// Guards against deltas that produce a different state than the full digest.
test('deltas and full digests produce the same state', () => {
	const random = Random.create(11);
	const encoder = DigestEncoder.create();
	const decoder = DigestDecoder.create({name: 'riga-2', incarnation: 'i2'});
	for (let sequence = 1; sequence <= 200; sequence++) {
		const digest = randomDigest(random, sequence);
		const {full, delta} = encoder.encode(digest);
		const lateDecoder = DigestDecoder.create({name: 'riga-2', incarnation: 'i2'});
		expect(sorted(lateDecoder.apply(full))).toEqual(sorted(digest));
		expect(sorted(decoder.apply(delta === undefined || random.chance(0.1) ? full : (delta === 'unchanged' ? undefined : delta)))).toEqual(sorted(digest));
	}
});

// Guards against sending a full digest when nothing has changed.
test('an unchanged digest has no content', () => {
	const encoder = DigestEncoder.create();
	const digest = randomDigest(Random.create(3), 1);
	encoder.encode(digest);
	expect(encoder.encode(digest).delta).toBe('unchanged');
	expect(encoder.encode({...digest, configOffset: 9}).delta).toEqual({s: 3, b: 2, o: 9});
});

// Guards against a delta applied to the wrong base, or a name index that is not in the name table.
test('a digest with a wrong base or an unknown name index is rejected', () => {
	const decoder = DigestDecoder.create({name: 'riga-2', incarnation: 'i2'});
	decoder.apply({s: 1, n: ['a'], o: 1});
	expect(() => decoder.apply({s: 3, b: 2})).toThrow('its base is 2, expected 1');
	expect(() => decoder.apply({s: 2, b: 1, f: [[7, 1]]})).toThrow('name index 7 is not in the name table');
});
