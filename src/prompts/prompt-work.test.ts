import {describe, expect, it} from 'vitest';
import {PromptWork, type SentPrompt} from './prompt-work.js';

const prompt: SentPrompt = {
	pendingTokens: 5000, heldTokens: 6000, aheadMs: 100, prefillMs: 100,
};

describe('PromptWork', () => {
	it('counts own prompts at once, less what should be prefilled, until their first event and their end', () => {
		const work = PromptWork.create();
		const entry = work.start(1, prompt, 0);
		expect([0, 100, 150, 400].map(now => Math.round(work.own(1, now).pendingTokens))).toEqual([5000, 5000, 2500, 500]);
		work.recordFirstEvent(entry);
		expect(work.own(1, 150)).toEqual({pendingTokens: 0, heldTokens: 6000});
		work.end(entry);
		expect([work.own(1, 150), work.engines().size]).toEqual([{pendingTokens: 0, heldTokens: 0}, 0]);
	});

	// Guards against news that count for longer than the work that they tell of, when later ones are late or lost.
	it('lets reported pending tokens decrease at the rate of the engine, and held tokens with age', () => {
		const work = PromptWork.create();
		work.report({}, {rows: [[1, 8000, 10_000]], isFull: true}, 0);
		work.report({}, {rows: [[1, 2000, 2000]], isFull: true}, 0);
		const at = (now: number) => work.reported(1, now, 50);
		expect(at(100)).toEqual({pendingTokens: 5000, heldTokens: 12_000, ageMs: 100});
		expect(at(250).pendingTokens).toBe(0);
		expect([at(2500), at(3250), at(4000)].map(({heldTokens}) => heldTokens)).toEqual([12_000, 6000, 0]);
	});

	it('replaces rows, all rows by a full report, and drops those of lost peers', () => {
		const work = PromptWork.create();
		const [leader, member] = [{}, {}];
		work.report(leader, {rows: [[1, 100, 100], [2, 100, 100]], isFull: true}, 0);
		work.report(member, {rows: [[1, 50, 50]], isFull: false}, 0);
		const held = () => [1, 2].map(engine => work.reported(engine, 0, 50).heldTokens);
		expect(held()).toEqual([150, 100]);
		work.report(leader, {rows: [[2, 0, 0]], isFull: false}, 0);
		expect(held()).toEqual([150, 0]);
		work.report(leader, {rows: [[2, 0, 30]], isFull: true}, 0);
		expect(held()).toEqual([50, 30]);
		work.dropOthers(leader);
		expect(held()).toEqual([0, 30]);
		work.drop(leader);
		expect(held()).toEqual([0, 0]);
	});
});
