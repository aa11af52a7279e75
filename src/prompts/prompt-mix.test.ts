import {describe, expect, it} from 'vitest';
import {PromptMix} from './prompt-mix.js';

/** Records prompts, one every 10 ms, and returns the time after them. */
function recordAll(mix: PromptMix, lengths: readonly number[], {count = 400, startMs = 0} = {}): number {
	for (let index = 0; index < count; index++) {
		mix.record(lengths[index % lengths.length]!, startMs + (index * 10));
	}

	return startMs + (count * 10);
}

describe('PromptMix', () => {
	it('divides long prompts from short ones, by the share of their work', () => {
		const mix = PromptMix.create();
		const {longFromTokens, longShare} = mix.split(recordAll(mix, [600, 2000, 600, 1800, 20_000]))!;
		expect([longFromTokens > 2000, longFromTokens <= 20_000, longShare]).toEqual([true, true, expect.closeTo(0.8, 1)]);
	});

	// Guards against a division where it has no use: the choice must be as it is without.
	it.each([{name: 'of one length', lengths: [2000]}, {name: 'of about the same length', lengths: [1500, 2000, 2600, 3000]}])('does not divide prompts $name', ({lengths}) => {
		const mix = PromptMix.create();
		expect(mix.split(recordAll(mix, lengths))).toBeUndefined();
	});

	it('follows the mix, and divides few prompts not at all', () => {
		const mix = PromptMix.create();
		const first = recordAll(mix, [600, 20_000], {count: 18});
		expect(mix.split(first)).toBeUndefined();
		const divided = recordAll(mix, [600, 600, 600, 20_000], {startMs: first});
		expect(mix.split(divided)!.longShare).toBeGreaterThan(0.8);
		const same = recordAll(mix, [600], {count: 12_000, startMs: divided});
		expect(mix.split(same)).toBeUndefined();
	});
});
