import type {RelayTarget} from '../registry/index.js';
import type {AllowedRegions} from './allowed-regions.js';
import {isRegionAllowed} from './is-region-allowed.js';

/**
 * Why a request may not go to a target. `removed`: the target is gone; `draining`: it accepts no new work; `region`: it is
 * in a region that the request does not allow; `evacuated`: nothing is sent to its zone.
 */
export type Exclusion = 'removed' | 'draining' | 'region' | 'evacuated';

/** What the placement of a request depends on, besides the target. */
export interface ExclusionOptions {
	readonly regions: AllowedRegions;
	readonly regionOf: (zone: string) => string | undefined;
	readonly isEvacuated: (zone: string) => boolean;
}

/** Target as far as its placement is concerned. */
export type PlacedTarget = Pick<RelayTarget, 'isRemoved' | 'isDraining'> & {readonly entry: Pick<RelayTarget['entry'], 'zone'>};

/**
 * Returns why a request may not go to a target now; `undefined` if it may.
 *
 * @example
 * findExclusion(target, {regions: ['latgale'], regionOf, isEvacuated: () => false}); // 'region'
 */
export function findExclusion({isRemoved, isDraining, entry: {zone}}: PlacedTarget, {regions, regionOf, isEvacuated}: ExclusionOptions): Exclusion | undefined {
	if (isRemoved) {
		return 'removed';
	}

	if (isDraining) {
		return 'draining';
	}

	if (regions !== undefined && !isRegionAllowed(regions, regionOf(zone))) {
		return 'region';
	}

	return isEvacuated(zone) ? 'evacuated' : undefined;
}
