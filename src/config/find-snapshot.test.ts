import {expect, test} from 'vitest';
import {
	decodeConfigState, encodeConfigState, isNewerConfig, type ConfigState,
} from './config-state.js';
import type {AppliedConfig} from './config-view.js';
import {DeclarationSet} from './declaration-set.js';
import type {Declaration} from './declarations.js';
import {findSnapshot} from './find-snapshot.js';
import {emptyConfig} from './fold-config.js';
import {VerdictMap} from './verdict-map.js';

function config(offset: number, revision: number, weight = 1): AppliedConfig {
	return {
		offset, revision, declarations: DeclarationSet.create([{
			kind: 'team', name: 'engravers', weight, priority: 5, deadline_ms: 9000,
		}]),
	};
}

const orphan: Declaration = {
	kind: 'target', name: 'orphan-1', zone: 'nowhere', pool: 'nothing', address: 'http://127.0.0.1:7201', slots: 8, checks_fencing: false,
};

/** Searches a stream whose earliest readable offset is 10 and whose only record is a snapshot at offset 20. */
function find(state: ConfigState | object, current = emptyConfig): number | undefined {
	return findSnapshot([{offset: 20, atMs: 0, record: {kind: 'snapshot', ...state}}], 10, current)?.config.offset;
}

// Guards against a snapshot from which the current state cannot be rebuilt, or that no correct process can have written.
test('a snapshot is used only if it is valid and no record after it has expired', () => {
	const state = (offset: number, revision: number) => encodeConfigState(config(offset, revision), []);
	expect(find(state(9, 5))).toBe(9);
	expect(find(state(19, 19))).toBe(19);
	expect(find(state(8, 5))).toBeUndefined();
	expect(find(state(20, 5))).toBeUndefined();
	expect(find(state(1000, 1000))).toBeUndefined();
	expect(find(state(12, 13))).toBeUndefined();
	expect(find({...state(12, 5), revision: 6})).toBeUndefined();
	expect(find(encodeConfigState({offset: 12, revision: 5, declarations: DeclarationSet.create([orphan])}, []))).toBeUndefined();
	expect(find({offset: 12})).toBeUndefined();
	// An older valid snapshot is used instead of a newer invalid one.
	const records = [state(11, 5), state(1000, 1000)].map((record, index) => ({offset: 12 + index, atMs: 0, record: {kind: 'snapshot', ...record}}));
	expect(findSnapshot(records, 10, emptyConfig)?.config.offset).toBe(11);
});

// Guards against a new version that cannot start from snapshots of the previous version.
test('a snapshot without a field that has a default is usable', () => {
	const withoutPriority = {
		kind: 'team', name: 'engravers', weight: 1, deadline_ms: 9000,
	} as unknown as Declaration;
	const state = encodeConfigState({offset: 12, revision: 5, declarations: DeclarationSet.create([withoutPriority])}, []);
	expect(decodeConfigState(state)?.config.declarations.team('engravers')?.priority).toBe(5);
});

// Guards against a state that reverts a newer configuration, or that has other declarations at the same revision.
test.each([
	['a newer offset and revision', config(9, 7), true],
	['a newer offset on the same revision', config(9, 5), true],
	['a newer offset on the same revision with other declarations', config(9, 5, 2), false],
	['a newer offset on a lower revision', config(9, 4), false],
	['the same offset', config(8, 5), false],
	['an older offset with a higher revision', config(7, 7), false],
])('%s: %s', (_name, candidate, expected) => {
	expect(isNewerConfig(candidate, config(8, 5))).toBe(expected);
	expect(find(encodeConfigState({...candidate, offset: candidate.offset + 5}, []), {...config(8, 5), offset: 13}) !== undefined).toBe(expected);
});

// Guards against a repeated append that turns an accepted change into a conflict.
test('the first verdict of a change is kept', () => {
	const verdicts = VerdictMap.create(2);
	verdicts.add({id: 'a', verdict: 'accepted', revision: 3});
	verdicts.add({id: 'a', verdict: 'conflict', revision: 4});
	expect(verdicts.get('a')?.verdict).toBe('accepted');
	verdicts.add({id: 'b', verdict: 'conflict', revision: 4});
	verdicts.add({id: 'c', verdict: 'conflict', revision: 4});
	expect([verdicts.get('a'), verdicts.latest(1)[0]?.id]).toEqual([undefined, 'c']);
});
