import {
	beforeEach, describe, expect, it,
} from 'vitest';
import {EvacuationLedger} from './evacuation-ledger.js';

const holdMs = 5000;

describe('EvacuationLedger', () => {
	let ledger: EvacuationLedger;

	beforeEach(() => {
		ledger = EvacuationLedger.create(holdMs);
	});

	it('follows the records, and reports each start and end once', () => {
		const on = {zone: 'a', isOn: true};
		expect(ledger.applyRecords([on, on], 100)).toEqual([{...on, cause: 'record', ageMs: 0}]);
		expect(ledger.zones).toEqual(['a']);
		const off = {zone: 'a', isOn: false};
		expect(ledger.applyRecords([off, off, {zone: 'b', isOn: false}], 300)).toEqual([{...off, cause: 'record', ageMs: 200}]);
		expect(ledger.isEvacuated('a')).toBe(false);
	});

	it('takes over a complete snapshot of the same history', () => {
		ledger.applySnapshot(['a', 'b'], 'continued', 0);
		expect(ledger.applySnapshot(['b', 'c'], 'continued', 10)).toEqual([
			{
				zone: 'c', isOn: true, cause: 'snapshot', ageMs: 0,
			},
			{
				zone: 'a', isOn: false, cause: 'snapshot', ageMs: 10,
			},
		]);
	});

	// Guards against an evacuation that a copy of the store ends, since it is older than the record.
	it('holds what a copy lacks, also over further snapshots of the copy, until its time is over', () => {
		ledger.applyRecords([{zone: 'a', isOn: true}], 0);
		expect(ledger.applySnapshot([], 'restored', 1000)).toEqual([]);
		expect(ledger.applySnapshot([], 'continued', 2000)).toEqual([]);
		expect([ledger.expiresMs, ledger.expire(5999), ledger.isEvacuated('a')]).toEqual([6000, [], true]);
		expect(ledger.expire(6000)).toEqual([{
			zone: 'a', isOn: false, cause: 'not_rewritten', ageMs: 6000,
		}]);
		expect(ledger.expiresMs).toBe(Infinity);
	});

	it.each([
		['written again', (now: number) => ledger.applyRecords([{zone: 'a', isOn: true}], now), true],
		['in a later snapshot', (now: number) => ledger.applySnapshot(['a'], 'continued', now), true],
		['deleted', (now: number) => ledger.applyRecords([{zone: 'a', isOn: false}], now), false],
	])('ends the hold by a record that is %s', (_name, act, isEvacuated) => {
		ledger.applyRecords([{zone: 'a', isOn: true}], 0);
		ledger.applySnapshot([], 'restored', 1000);
		act(2000);
		expect([ledger.isEvacuated('a'), ledger.expiresMs, ledger.expire(100_000)]).toEqual([isEvacuated, Infinity, []]);
	});

	// Guards against an evacuation that is over and that an older copy of the store brings back for good.
	it('starts again what had ended only by a record that follows on the copy', () => {
		ledger.applyRecords([{zone: 'a', isOn: true}, {zone: 'a', isOn: false}], 0);
		expect(ledger.applySnapshot(['a', 'b'], 'restored', 1000).map(({zone}) => zone)).toEqual(['b']);
		expect(ledger.applyRecords([{zone: 'a', isOn: true}], 2000)).toHaveLength(1);
	});

	it('does not take the end of a hold for one that was read', () => {
		ledger.applyRecords([{zone: 'a', isOn: true}], 0);
		ledger.applySnapshot([], 'restored', 0);
		ledger.expire(holdMs);
		ledger.applySnapshot(['a'], 'restored', holdMs);
		expect(ledger.isEvacuated('a')).toBe(true);
	});
});
