import {describe, expect, it} from 'vitest';
import {
	simulateEngines, type ChoicePolicy, type PromptKind, type SimulatedEnginesOptions,
} from '../../test/support/simulated-engines.js';
import type {Random} from '../random/index.js';

const part = (name: string, tokens: number) => ({id: name, tokens});
/** Long prompts with shared parts, a few very long ones, and short ones. */
const kinds: readonly PromptKind[] = [
	{
		name: 'long', share: 0.15, create(random: Random, id) {
			const own = Math.min(40_000, Math.round(random.exponential(2890)));
			const subject = random.integer(0, 40);
			return {inputTokens: 6300 + own, maxOutputTokens: 60, parts: [part(`set ${subject % 4}`, 2520), part(`subject ${subject}`, 3780), part(id, own)]};
		},
	},
	{
		name: 'longest', share: 0.02, create(random: Random, id) {
			const own = random.integer(15_000, 50_000);
			return {inputTokens: own, maxOutputTokens: 60, parts: [part(id, own)]};
		},
	},
	{
		name: 'short', share: 0.83, create(random: Random, id) {
			const own = Math.round(200 + random.exponential(1200));
			return {inputTokens: 370 + own, maxOutputTokens: 60, parts: [part(`style ${random.integer(0, 10)}`, 370), part(id, own)]};
		},
	},
];
const policies: readonly ChoicePolicy[] = ['own_tokens', 'completion', 'separated'];

/** Returns the times to the first event by policy, printed as a table. */
function compare(options: Omit<SimulatedEnginesOptions, 'policy'>) {
	const times = policies.map(policy => simulateEngines({...options, policy}));
	for (const [index, policy] of policies.entries()) {
		console.log(`${options.promptsPerSecond}/s, slowness ${options.slowness.join(' ')}, ${policy}: ${[...times[index]!].map(([name, {mean, p99}]) => `${name} ${Math.round(mean)} ms, p99 ${Math.round(p99)} ms`).join('; ')}`);
	}

	return (kind: string) => times.map(byKind => byKind.get(kind)!);
}

describe('long prompts beside short ones', () => {
	// Guards against short prompts that wait behind long ones, and against long ones that pay for it with more than a part of
	// what the knowledge of all work gains them.
	it.each([
		{
			name: 'uneven engines at a fifth of their capacity', promptsPerSecond: 60, slowness: [0.7, 0.7, 1.7], isSlowedDown: true,
		},
		{
			name: 'uneven engines in a burst', promptsPerSecond: 200, slowness: [0.7, 0.7, 1.7], isSlowedDown: true,
		},
		{
			name: 'equal engines', promptsPerSecond: 60, slowness: [1], isSlowedDown: false,
		},
	])('start sooner at $name', ({promptsPerSecond, slowness, isSlowedDown}) => {
		const timesOf = compare({
			kinds, promptsPerSecond, slowness, isSlowedDown, seed: 1, durationMs: 40_000,
		});
		const [own, completion, separated] = timesOf('short');
		expect(completion!.mean).toBeLessThan(own!.mean);
		expect(separated!.mean).toBeLessThan(completion!.mean);
		expect(separated!.p99).toBeLessThan(0.7 * completion!.p99);
		for (const kind of ['long', 'longest']) {
			const [longOwn, , longSeparated] = timesOf(kind);
			expect(longSeparated!.mean).toBeLessThan(longOwn!.mean);
		}
	}, 60_000);

	// Guards against very long prompts that all go to the same idle engine when they arrive at several entry VMs at once.
	it('spread the longest ones over idle engines', () => {
		const timesOf = compare({
			kinds, promptsPerSecond: 60, slowness: [0.7, 0.7, 1.7], isSlowedDown: true, seed: 3, durationMs: 40_000,
		});
		const [, completion, separated] = timesOf('longest');
		expect(separated!.mean).toBeLessThan(completion!.mean);
		expect(separated!.p99).toBeLessThanOrEqual(completion!.p99);
	}, 60_000);

	// Guards against a separation where it has no use.
	it('are not separated where all prompts have about the same length', () => {
		const timesOf = compare({
			kinds: [{name: 'equal', share: 1, create: (random, id) => ({inputTokens: 2000, maxOutputTokens: 60, parts: [part(`style ${random.integer(0, 10)}`, 370), part(id, 1630)]})}], promptsPerSecond: 60, slowness: [1], isSlowedDown: false, seed: 1, durationMs: 20_000,
		});
		const [own, completion, separated] = timesOf('equal');
		expect(separated).toEqual(completion);
		expect(separated!.mean).toBeLessThan(1.1 * own!.mean);
	}, 60_000);
});
