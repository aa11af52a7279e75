import {expect, test} from 'vitest';
import {rankByRendezvous} from './rendezvous.js';

const names = Array.from({length: 76}, (_, index) => `riga-${index}`);

// Guards against a change of every gateway when one VM is replaced.
test('removing a name keeps the order of the others', () => {
	const ranked = rankByRendezvous('gateway riga-a', names);
	const without = names.filter(name => name !== ranked[5]);
	expect(rankByRendezvous('gateway riga-a', without.toReversed())).toEqual(ranked.filter(name => name !== ranked[5]));
});

// Guards against one VM ranking first for every key.
test('different keys choose different names', () => {
	const first = new Set(Array.from({length: 50}, (_, index) => rankByRendezvous(`key ${index}`, names)[0]));
	expect(first.size).toBeGreaterThan(25);
});
