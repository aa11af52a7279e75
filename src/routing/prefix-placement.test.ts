import {expect, test} from 'vitest';
import {PrefixPlacement} from './prefix-placement.js';

const engines = Array.from({length: 6}, (_, index) => `engine-${index + 1}`);
const prompt = (archive: string, question: string) => [{name: archive, tokens: 1400}, {name: question, tokens: 40}];

function homeOf(placement: PrefixPlacement, archive: string, question: string, names: readonly string[] = engines): string {
	const {rank} = placement.of(prompt(archive, question), names)!;
	return names.find(name => rank.get(name) === 0)!;
}

// Guards against entry VMs that each fill another engine's cache with the same material.
test('entry VMs agree on the home of shared material whatever the question', () => {
	const home = homeOf(PrefixPlacement.create(), 'archive', 'question-1');
	expect(homeOf(PrefixPlacement.create(), 'archive', 'question-2', engines.toReversed())).toBe(home);
	expect(new Set(Array.from({length: 50}, (_, index) => homeOf(PrefixPlacement.create(), `archive-${index}`, 'q'))).size).toBe(engines.length);
});

// Guards against a remembered home that has left the pool.
test('a pool that changed is ranked again', () => {
	const placement = PrefixPlacement.create();
	const home = homeOf(placement, 'archive', 'q');
	const others = engines.filter(name => name !== home);
	expect(others).toContain(homeOf(placement, 'archive', 'q', others));
	expect(homeOf(placement, 'archive', 'q')).toBe(home);
});

// Guards against questions of one caller that decide the engine.
test('a prompt without a long segment has no home', () => {
	expect(PrefixPlacement.create().of([{name: 'question', tokens: 160}], engines)).toBeUndefined();
});
