import {expect, test} from 'vitest';
import {PrefixPlacement} from './prefix-placement.js';

const engines = Array.from({length: 6}, (_, index) => `engine-${index + 1}`);
const prompt = (archive: string, question: string) => [{hash: archive, tokens: 1400}, {hash: question, tokens: 40}];

function preferredEngine(placement: PrefixPlacement, archive: string, question: string, names: readonly string[] = engines): string {
	const {rank} = placement.rank(prompt(archive, question), names)!;
	return names.find(name => rank.get(name) === 0)!;
}

// Guards against entry VMs that fill the caches of different engines with the same shared prefix.
test('entry VMs agree on the preferred engine of a shared prefix regardless of the question', () => {
	const preferred = preferredEngine(PrefixPlacement.create(), 'archive', 'question-1');
	expect(preferredEngine(PrefixPlacement.create(), 'archive', 'question-2', engines.toReversed())).toBe(preferred);
	expect(new Set(Array.from({length: 50}, (_, index) => preferredEngine(PrefixPlacement.create(), `archive-${index}`, 'q'))).size).toBe(engines.length);
});

// Guards against a cached ranking whose preferred engine was removed from the pool.
test('a changed pool is ranked again', () => {
	const placement = PrefixPlacement.create();
	const preferred = preferredEngine(placement, 'archive', 'q');
	const others = engines.filter(name => name !== preferred);
	expect(others).toContain(preferredEngine(placement, 'archive', 'q', others));
	expect(preferredEngine(placement, 'archive', 'q')).toBe(preferred);
});

// Guards against choosing an engine by text that other prompts do not share.
test('a prompt without a long segment has no preferred engine', () => {
	expect(PrefixPlacement.create().rank([{hash: 'question', tokens: 160}], engines)).toBeUndefined();
});
