import type {Route, TeamDeclaration} from '../routes/index.js';

/** Names of the regions in which a request may be served, cached and stored; `undefined` if in any, empty if in none. */
export type AllowedRegions = readonly string[] | undefined;

/**
 * Returns the regions that both the route and the team of a request allow. An absent or empty list allows all regions;
 * two lists without a common region allow none.
 *
 * @example
 * findAllowedRegions(route, team); // ['latgale']
 */
export function findAllowedRegions(route: Pick<Route, 'allowedRegions'>, team: Pick<TeamDeclaration, 'allowedRegions'> | undefined): AllowedRegions {
	const lists = [route.allowedRegions, team?.allowedRegions].flatMap(list => list && list.length > 0 ? [list] : []);
	const [first, second] = lists;
	return second ? [...new Set(first)].filter(region => second.includes(region)) : first && [...new Set(first)];
}
