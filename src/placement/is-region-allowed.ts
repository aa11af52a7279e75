import type {AllowedRegions} from './allowed-regions.js';

/**
 * Whether a request may be served in a region. A region that is not known is not allowed to a request with restrictions.
 *
 * @example
 * isRegionAllowed(['latgale'], 'riga'); // false
 */
export function isRegionAllowed(regions: AllowedRegions, region: string | undefined): boolean {
	return regions === undefined || (region !== undefined && regions.includes(region));
}
