import process from 'node:process';
import {expect, it} from 'vitest';
import {PrefixCacheTracker} from './prefix-cache-tracker.js';

const parts = (...ids: string[]) => ids.map(id => ({id, tokens: 10}));

it('counts the tokens of the leading parts that an engine had last', () => {
	const tracker = PrefixCacheTracker.create();
	tracker.recordRequest('e-1', parts('a', 'b', 'c'), 0);
	expect(tracker.cachedTokens('e-1', parts('a', 'b', 'x'), 10)).toBe(20);
	expect(tracker.cachedTokens('e-1', parts('b', 'c'), 10)).toBe(0);
	expect(tracker.cachedTokens('e-1', parts('a', 'c', 'b'), 10)).toBe(10);
	expect(tracker.cachedTokens('e-1', parts('ab', 'c'), 10)).toBe(0);
	expect(tracker.cachedTokens('e-2', parts('a'), 10)).toBe(0);
	expect(tracker.cachedTokens('e-1', parts('a'), 40_000)).toBe(0);
	tracker.removeEngine('e-1');
	expect(tracker.cachedTokens('e-1', parts('a'), 10)).toBe(0);
});

// Guards against prompts of many parts that take the heap of a small entry VM, since the text of each prefix was kept.
it('takes memory by the number of parts, not by the length of their prefixes', () => {
	const tracker = PrefixCacheTracker.create();
	const beforeBytes = process.memoryUsage().heapUsed;
	for (let request = 0; request < 120; request++) {
		const engine = request % 40;
		const ids = Array.from({length: 800}, (_, part) => `${engine.toString(16).padStart(8, '0')}${part.toString(16).padStart(8, '0')}`);
		tracker.recordRequest(`e-${engine}`, parts(...ids), 0);
	}

	expect(process.memoryUsage().heapUsed - beforeBytes).toBeLessThan(40e6);
	expect(tracker.cachedTokens('e-1', parts('0000000100000000'), 0)).toBe(0);
});

it('tells apart many prefixes', () => {
	const tracker = PrefixCacheTracker.create();
	for (let id = 0; id < 400; id++) {
		tracker.recordRequest('e-1', parts(String(id)), 0);
	}

	const unknown = Array.from({length: 100_000}, (_, id) => tracker.cachedTokens('e-1', parts(String(id + 400)), 0)).filter(tokens => tokens > 0);
	expect(unknown).toEqual([]);
});
