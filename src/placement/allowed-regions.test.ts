import {describe, expect, it} from 'vitest';
import {findAllowedRegions} from './allowed-regions.js';

describe('findAllowedRegions', () => {
	// Guards against a list of the team that widens that of the route, and against an empty list that forbids everything.
	it.each([
		[undefined, undefined, undefined],
		[[], [], undefined],
		[['riga'], undefined, ['riga']],
		[[], ['riga', 'riga'], ['riga']],
		[['riga', 'latgale'], ['latgale', 'kurzeme'], ['latgale']],
		[['riga'], ['latgale'], []],
	])('with route %j and team %j', (route, team, regions) => {
		expect(findAllowedRegions({allowedRegions: route}, {allowedRegions: team})).toEqual(regions);
	});
});
