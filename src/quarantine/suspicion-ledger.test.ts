import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import type {Suspicion} from './suspicion.js';
import {SuspicionLedger, suspicionLifetimeMs} from './suspicion-ledger.js';

const crash = (name: string, parts: readonly string[], {sentMs, crashedMs, weight = 1}: {sentMs: number; crashedMs: number; weight?: number}): Suspicion => ({
	parts: parts.toSorted(), crashes: new Map([[name, weight]]), sentMs, crashedMs, quarantinedMs: undefined,
});

/** Adds crashes of requests with these parts, one each 1000 ms. */
function addCrashes(ledger: SuspicionLedger, requests: ReadonlyArray<readonly string[]>, startMs = 0): void {
	for (const [index, parts] of requests.entries()) {
		const sentMs = startMs + (index * 1000);
		ledger.add(crash(`e-${startMs}-${index}`, parts, {sentMs, crashedMs: sentMs + 500}), sentMs + 500);
	}
}

describe('SuspicionLedger', () => {
	it('quarantines what two crashes one after the other have in common', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead', 'a', 'b']]);
		expect(ledger.isQuarantined(['dead', 'a', 'b'])).toBe(false);
		addCrashes(ledger, [['dead', 'c', 'd']], 1000);
		expect([['dead'], ['a', 'b'], ['x', 'dead', 'y']].map(parts => ledger.isQuarantined(parts))).toEqual([true, false, true]);
	});

	it('rejects only requests with all parts of a set while the deadly one among them is unknown', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead', 'a'], ['dead', 'a']]);
		expect([['dead', 'a', 'b'], ['dead', 'b'], ['a', 'b']].map(parts => ledger.isQuarantined(parts))).toEqual([true, false, false]);
	});

	it('clears a part when a request with it is answered, and keeps the others of its set quarantined', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead', 'a'], ['dead', 'a']]);
		expect([...ledger.answered(['a', 'x'], 2000).cleared.keys()]).toEqual(['a']);
		expect([['dead', 'b'], ['a', 'b']].map(parts => ledger.isQuarantined(parts))).toEqual([true, false]);
		ledger.answered(['dead'], 2100);
		expect(ledger.all()).toEqual([]);
	});

	it('does not suspect a part that was answered shortly before the crash, but one that was answered long before it', () => {
		const ledger = SuspicionLedger.create();
		ledger.answered(['shared', 'turned'], 0);
		ledger.answered(['shared'], 9000);
		addCrashes(ledger, [['shared', 'turned']], 9500);
		expect(ledger.all().map(({parts}) => parts)).toEqual([['turned']]);
	});

	it('does not count targets that are lost together as successive crashes', () => {
		const ledger = SuspicionLedger.create();
		for (const name of ['e-1', 'e-2', 'e-3']) {
			ledger.add(crash(name, ['a', `own-${name}`], {sentMs: 0, crashedMs: 500}), 500);
		}

		expect(ledger.isQuarantined(['a'])).toBe(false);
	});

	it('counts a crash once, however often and in whatever order its evidence arrives', () => {
		const ledger = SuspicionLedger.create();
		const evidence = crash('e-1', ['a', 'b'], {sentMs: 0, crashedMs: 500});
		expect([ledger.add(evidence, 500).added, ledger.add({...evidence, crashedMs: 900}, 900).added, ledger.quarantined()]).toEqual([evidence, undefined, []]);
	});

	it('needs more crashes at which requests only waited than crashes at the start of their responses', () => {
		const ledger = SuspicionLedger.create();
		for (let index = 0; index < 4; index++) {
			expect(ledger.isQuarantined(['a'])).toBe(false);
			ledger.add(crash(`e-${index}`, ['a'], {sentMs: index * 1000, crashedMs: (index * 1000) + 500, weight: 0.5}), (index * 1000) + 500);
		}

		expect(ledger.isQuarantined(['a'])).toBe(true);
	});

	it('finds two deadly parts', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead-1', 'a'], ['dead-2', 'a'], ['dead-1', 'b'], ['dead-2', 'c']]);
		ledger.answered(['a'], 4000);
		expect([['dead-1'], ['dead-2'], ['a', 'b', 'c']].map(parts => ledger.isQuarantined(parts))).toEqual([true, true, false]);
	});

	it('turns a quarantine into a suspicion in the end, which one more crash renews', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead'], ['dead']]);
		const laterMs = 2000 + suspicionLifetimeMs;
		ledger.expire(laterMs);
		expect(ledger.isQuarantined(['dead'])).toBe(false);
		ledger.add(crash('e-9', ['dead'], {sentMs: laterMs + 1, crashedMs: laterMs + 2}), laterMs + 2);
		expect(ledger.isQuarantined(['dead'])).toBe(true);
	});

	it('keeps quarantined parts when many unique ones come under suspicion, and a bounded number of these', () => {
		const ledger = SuspicionLedger.create();
		addCrashes(ledger, [['dead'], ['dead']]);
		addCrashes(ledger, Array.from({length: 2000}, (_, index) => [`unique-${index}`]), 10_000);
		expect([ledger.isQuarantined(['dead']), ledger.all().length <= 200]).toEqual([true, true]);
	});

	it('never quarantines a set of parts that are answered between the crashes, in any order of crashes and answers', () => {
		const part = fc.constantFrom('a', 'b', 'c', 'd');
		fc.assert(fc.property(fc.array(fc.tuple(fc.uniqueArray(part, {minLength: 1}), fc.uniqueArray(part)), {maxLength: 12}), steps => {
			const ledger = SuspicionLedger.create();
			for (const [index, [crashed, answered]] of steps.entries()) {
				addCrashes(ledger, [crashed], index * 10_000);
				ledger.answered(answered, (index * 10_000) + 5000);
				for (const name of answered) {
					expect(ledger.isQuarantined([name])).toBe(false);
				}
			}
		}), {seed: 27, numRuns: 500});
	});
});
