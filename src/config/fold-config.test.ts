import fc from 'fast-check';
import {expect, test} from 'vitest';
import type {LogRecord} from '../platform-log/index.js';
import type {AppliedConfig} from './config-view.js';
import type {Declaration} from './declarations.js';
import {emptyConfig, foldConfig} from './fold-config.js';

const seed = 7;
const team = (name: string, weight = 1): Declaration => ({
	kind: 'team', name, weight, priority: 5, deadline_ms: 9000,
});
const orphan: Declaration = {
	kind: 'target', name: 'orphan-1', zone: 'nowhere', pool: 'nothing', address: 'http://127.0.0.1:7201', slots: 8, checks_fencing: false,
};

type Step = {operator: number; action: 'read' | 'append' | 'invalid' | 'garbage' | 'repeat'};
const step = fc.record({operator: fc.integer({min: 0, max: 3}), action: fc.constantFrom<Step['action']>('read', 'append', 'append', 'invalid', 'garbage', 'repeat')});

/** Creates changes by operators that read the revision in force and append later with it as base, so that the changes race. */
function createRacingChanges(steps: readonly Step[]): LogRecord[] {
	const records: LogRecord[] = [];
	const bases = new Map<number, number>();
	for (const {operator, action} of steps) {
		if (action === 'read') {
			bases.set(operator, foldAll(records).at(-1)!.revision);
			continue;
		}

		const offset = records.length;
		const change = {
			kind: 'change', id: `c${offset}`, base: bases.get(operator) ?? -1, author: `operator-${operator}`, set: [action === 'invalid' ? orphan : team(`team-${operator}`, offset + 1)],
		};
		const record = action === 'garbage' ? {kind: 'change', id: 5} : (action === 'repeat' ? (records.at(-1)?.record ?? change) : change);
		records.push({offset, atMs: offset, record});
	}

	return records;
}

/** Returns the initial state and the state after each record. */
function foldAll(records: readonly LogRecord[], from: AppliedConfig = emptyConfig): AppliedConfig[] {
	const states = [from];
	for (const record of records) {
		states.push(foldConfig(states.at(-1)!, record).config);
	}

	return states;
}

// Guards against two accepted changes with one base, revisions that decrease, and processes that diverge.
test('at most one of the racing changes per base is accepted, revisions never decrease, and every process reaches the same state', () => {
	fc.assert(fc.property(fc.array(step, {maxLength: 40}), fc.array(fc.nat(40)), (steps, repeats) => {
		const records = createRacingChanges(steps);
		const states = foldAll(records);
		const acceptedByBase = new Map<number, string>();
		for (const [index, record] of records.entries()) {
			const {verdict, changeId} = foldConfig(states[index]!, record);
			if (verdict === 'accepted') {
				const {base} = record.record as {base: number};
				expect(acceptedByBase.has(base)).toBe(false);
				acceptedByBase.set(base, changeId!);
			}

			expect(states[index + 1]!.revision).toBeGreaterThanOrEqual(states[index]!.revision);
			expect(states[index + 1]!.declarations.byKey.has('target/orphan-1')).toBe(false);
		}

		// Another process reads some records of the same stream repeatedly.
		let other = emptyConfig;
		for (const [index, record] of records.entries()) {
			for (const repeated of records.slice(Math.max(0, index - (repeats[index] ?? 0)), index + 1)) {
				other = foldConfig(other, repeated).config;
			}

			expect(other.offset).toBe(record.offset);
		}

		expect(other).toEqual(states.at(-1));
	}), {seed, numRuns: 300});
});

// Guards against an inconsistent change that takes effect or blocks the next change.
test.each([
	['a target without pool and zone', [orphan], []],
	['a key set twice', [team('a'), team('a', 2)], []],
	['a removal of an undeclared key', [], ['team/nobody']],
	['a declaration that does not parse', [{kind: 'team', name: 'a', weight: -1}], []],
])('%s is invalid', (_name, set, remove) => {
	const result = foldConfig(emptyConfig, {
		offset: 3, atMs: 0, record: {
			kind: 'change', id: 'c', base: -1, set, remove,
		},
	});
	expect(result).toMatchObject({verdict: 'invalid', changeId: 'c', config: {offset: 3, revision: -1}});
	expect(foldConfig(result.config, {
		offset: 4, atMs: 0, record: {
			kind: 'change', id: 'd', base: -1, set: [team('a')],
		},
	}).verdict).toBe('accepted');
});
