import {describe, expect, it} from 'vitest';
import {CellMap} from './cell-map.js';

const regions: Readonly<Record<string, string>> = {
	'riga-a': 'riga', 'riga-b': 'riga', 'liepaja-a': 'kurzeme', 'liepaja-b': 'kurzeme', 'limon-a': 'limon',
};
const regionOf = (zone: string) => regions[zone];
const zones = (counts: Readonly<Partial<Record<string, number>>>) => Object.entries(counts).flatMap(([zone, count]) => Array.from({length: count ?? 0}, () => zone));

// Guards against one leader that serves a whole large fleet, and against a leader in each zone of a small one.
describe('CellMap', () => {
	it.each([
		{name: 'a small fleet', counts: {'riga-a': 3, 'liepaja-a': 3, 'limon-a': 3}, cell: 'fleet'},
		{name: 'a fleet of small regions', counts: {'riga-a': 14, 'riga-b': 13, 'liepaja-a': 27}, cell: 'region riga'},
		{
			name: 'a fleet of large regions', counts: {
				'riga-a': 33, 'riga-b': 32, 'liepaja-a': 66, 'liepaja-b': 69,
			}, cell: 'zone riga-a',
		},
		{name: 'a small region beside a large one', counts: {'riga-a': 5, 'liepaja-a': 200}, cell: 'region riga'},
	])('puts a zone of $name into "$cell"', ({counts, cell}) => {
		expect(CellMap.create({zones: zones(counts), regionOf}).of('riga-a')).toBe(cell);
	});

	it('treats a zone of unknown region as a region of its own', () => {
		expect(CellMap.create({zones: zones({'ventspils-a': 10, 'riga-a': 30}), regionOf}).of('ventspils-a')).toBe('region ventspils-a');
	});
});
