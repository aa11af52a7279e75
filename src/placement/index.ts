export {findAllowedRegions, type AllowedRegions} from './allowed-regions.js';
export type {EvacuationChange, EvacuationRecord} from './evacuation-ledger.js';
export {findExclusion, type Exclusion, type PlacedTarget} from './find-exclusion.js';
export {isRegionAllowed} from './is-region-allowed.js';
export {Placement, type ExclusionCounts, type PlacementOptions} from './placement.js';
