import {expect, test} from 'vitest';
import {PrefixCache} from '../stand-ins/prefix-cache.js';
import {DeclarationSet} from '../config/index.js';
import {FakeTargets} from '../../test/support/fake-targets.js';
import {policyDeclarations} from '../../test/support/policy-declarations.js';
import {PrefixIndex} from './prefix-index.js';
import {PrefixHasher} from './prefix-hasher.js';

const engine = FakeTargets.create(DeclarationSet.create(policyDeclarations({teams: {}, targets: {engine: 1}, slots: 8}))).get('engine-1')!;
const prompt = ['system', 'history', 'question'].map(id => ({id, text: id.repeat(40)}));
const prefixes = PrefixHasher.create().prefixesOf(prompt);
const allTokens = prefixes.reduce((sum, prefix) => sum + prefix.tokens, 0);
const stored = (sequence: number, index: number) => ({
	sequence, type: 'stored' as const, prefix: prefixes[index]!.hash, tokens: 1,
});

// Guards against prefix hashes that differ from the ones in the engines' cache events.
test('prefix hashes and token counts match the published ones', () => {
	const {changes} = PrefixCache.create(100_000).use(prompt);
	expect(prefixes).toEqual(changes.map(({prefix, tokens}) => ({hash: prefix, tokens})));
});

// Guards against a cached hash that is reused after different preceding segments.
test('the hash of a prefix depends on all of its segments', () => {
	const hasher = PrefixHasher.create();
	const alone = hasher.prefixesOf([prompt[1]!])[0]!.hash;
	expect(hasher.prefixesOf(prompt)[1]!.hash).not.toBe(alone);
	expect(hasher.prefixesOf([prompt[1]!])[0]!.hash).toBe(alone);
});

// Guards against counting prefixes as cached when a shorter prefix of the same prompt is missing.
test('only contiguous cached prefixes count as cached', () => {
	const index = PrefixIndex.create();
	index.recordDispatch(engine, prefixes.slice(0, 1));
	index.applyEvents(engine, 's1', [stored(1, 2)]);
	expect(index.uncachedTokens('engine-1', prefixes)).toBe(allTokens - prefixes[0]!.tokens);
	expect(index.minUncachedTokens('pool', prefixes)).toBe(allTokens - prefixes[0]!.tokens);
	index.applyEvents(engine, 's1', [stored(2, 1)]);
	expect(index.uncachedTokens('engine-1', prefixes)).toBe(0);
	index.applyEvents(engine, 's1', [{...stored(3, 0), type: 'evicted'}]);
	expect(index.uncachedTokens('engine-1', prefixes)).toBe(allTokens);
	expect(index.uncachedTokens('engine-2', prefixes)).toBe(allTokens);
});

// Guards against entries that stay certain although the event of their eviction may be lost, and against events that are
// applied twice.
test('a gap makes entries uncertain until they are confirmed again', () => {
	const index = PrefixIndex.create();
	index.applyEvents(engine, 's1', [stored(1, 0), stored(2, 1)]);
	expect(index.uncachedTokens('engine-1', prefixes.slice(0, 2))).toBe(0);
	index.applyEvents(engine, 's1', [stored(4, 2)]);
	expect(index.lastSequence('engine-1')).toBe(4);
	// One event is lost; it is an eviction with probability 1/2, of one of three entries.
	const uncertainTokens = prefixes[0]!.tokens + prefixes[1]!.tokens;
	expect(index.uncachedTokens('engine-1', prefixes)).toBeCloseTo(uncertainTokens / 6);
	index.applyEvents(engine, 's1', [stored(105, 2)]);
	expect(index.uncachedTokens('engine-1', prefixes)).toBeCloseTo(uncertainTokens, 1);
	index.applyEvents(engine, 's1', [{...stored(2, 0), type: 'evicted'}]);
	index.recordDispatch(engine, prefixes);
	expect(index.uncachedTokens('engine-1', prefixes)).toBe(0);
});

// Guards against keeping entries of an engine that restarted with an empty cache.
test('a new start id removes the entries and the sequence', () => {
	const index = PrefixIndex.create();
	index.applyEvents(engine, 's1', [stored(7, 0)]);
	index.recordDispatch({...engine, startId: 's2'}, []);
	expect(index.uncachedTokens('engine-1', prefixes)).toBe(allTokens);
	expect(index.minUncachedTokens('pool', prefixes)).toBe(allTokens);
	expect(index.lastSequence('engine-1')).toBe(0);
});

// Guards against unbounded memory use.
test('the oldest prefixes of an engine are removed first', () => {
	const index = PrefixIndex.create({capacity: 2});
	index.recordDispatch(engine, prefixes);
	expect(index.size('engine-1')).toBe(2);
	expect(index.uncachedTokens('engine-1', prefixes)).toBe(allTokens);
	index.retain(() => false);
	expect(index.size('engine-1')).toBe(0);
});
