import fc from 'fast-check';
import {expect, it} from 'vitest';
import {isPromptWork} from './is-prompt-work.js';
import {linkLimits, promptWorkSchema} from './link-message.js';

const odd = fc.constantFrom<unknown>(undefined, null, -1, 0, 0.5, -0, Number.NaN, Infinity, 2 ** 32, 2 ** 53, '', 'x'.repeat(201), [], [1, 2], [1, 2, 3, 4], {}, true);
const number = fc.nat(5);
const row = fc.oneof({weight: 30, arbitrary: fc.tuple(fc.oneof({weight: 30, arbitrary: number}, odd), number, fc.oneof({weight: 30, arbitrary: number}, odd))}, odd);
const speed = fc.oneof({weight: 30, arbitrary: fc.tuple(number, fc.integer({min: 1, max: 9}), fc.oneof({weight: 30, arbitrary: fc.integer({min: 1, max: 9})}, odd))}, odd);
const name = fc.oneof({weight: 30, arbitrary: fc.constantFrom('llm', 'x'.repeat(200))}, odd);
const list = (item: fc.Arbitrary<unknown>) => fc.oneof({weight: 30, arbitrary: fc.array(item, {maxLength: 3})}, odd);
const length = fc.oneof({weight: 30, arbitrary: fc.tuple(name, list(row))}, odd);
const fields = fc.record({
	isFull: fc.oneof({weight: 30, arbitrary: fc.boolean()}, odd), rows: list(row), speeds: list(speed), lengths: list(length), extra: odd,
}, {requiredKeys: ['isFull', 'rows', 'speeds']});

// Guards against messages of a faulty peer that get past the validation which does without the schema.
it('accepts what the schema of the message accepts', () => {
	let accepted = 0;
	fc.assert(fc.property(fields, value => {
		const isAccepted = isPromptWork(value, linkLimits);
		accepted += isAccepted ? 1 : 0;
		expect(isAccepted).toBe(promptWorkSchema.safeParse({...value, type: 'prompt-work'}).success);
	}), {numRuns: 5000, seed: 7});
	expect(accepted).toBeGreaterThan(100);
	const rows = (count: number) => Array.from({length: count}, () => [1, 2, 3]);
	for (const count of [linkLimits.lengthClasses, linkLimits.lengthClasses + 1, linkLimits.engines, linkLimits.engines + 1]) {
		for (const value of [{rows: rows(count), lengths: []}, {rows: [], lengths: [['llm', rows(count)]]}]) {
			const message = {isFull: false, speeds: [], ...value};
			expect(isPromptWork(message, linkLimits)).toBe(promptWorkSchema.safeParse({...message, type: 'prompt-work'}).success);
		}
	}
});
