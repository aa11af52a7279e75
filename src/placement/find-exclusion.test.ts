import {describe, expect, it} from 'vitest';
import {findExclusion} from './find-exclusion.js';

const regions = new Map([['riga-a', 'riga'], ['rezekne-a', 'latgale']]);

describe('findExclusion', () => {
	// Guards against a target of an unknown zone or region that gets a request with restrictions.
	it.each([
		['riga-a', {}, undefined],
		['riga-a', {isRemoved: true, isDraining: true}, 'removed'],
		['riga-a', {isDraining: true}, 'draining'],
		['rezekne-a', {}, 'region'],
		['unknown', {}, 'region'],
	])('of a target in %s with %j', (zone, state, exclusion) => {
		const target = {
			isRemoved: false, isDraining: false, entry: {zone}, ...state,
		};
		expect(findExclusion(target, {regions: ['riga'], regionOf: name => regions.get(name), isEvacuated: () => false})).toBe(exclusion);
	});

	it('is the evacuation of its zone in an allowed region, and without restrictions', () => {
		const target = {isRemoved: false, isDraining: false, entry: {zone: 'riga-a'}};
		const options = {regionOf: (name: string) => regions.get(name), isEvacuated: (zone: string) => zone === 'riga-a'};
		expect([findExclusion(target, {...options, regions: ['riga']}), findExclusion(target, {...options, regions: undefined}), findExclusion(target, {...options, regions: []})]).toEqual(['evacuated', 'evacuated', 'region']);
	});
});
