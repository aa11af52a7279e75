export {BrittleSlots, type SlotReply, type SlotRequest} from './brittle-slots.js';
export {
	BrittleTargets, type BrittleMesh, type BrittleMessage, type BrittleSlot, type BrittleTargetsOptions,
} from './brittle-targets.js';
export {
	ColdTargets, type ColdMesh, type ColdMessage, type ColdTargetsOptions,
} from './cold-targets.js';
export {ColdWatch, type ColdWatchOptions, type TargetHealth} from './cold-watch.js';
export type {ReachFailure} from './unreachable-targets.js';
export {
	permitRate, permitTtlMs, strictColdBound, type ColdBound,
} from './cold-bound.js';
export {
	ColdPermits, type ColdPermitsOptions, type Permit, type PermitMessage, type PermitsMesh, type PermitTarget,
} from './cold-permits.js';
export {judgeClaim, type ClaimVerdict, type HealthStatement} from './judge-claim.js';
export {ColdPhases, type ColdChange, type ColdPhase} from './cold-phases.js';
export {
	judgeCold, maxInformationAgeMs, type ColdEvidence, type ColdSource,
} from './judge-cold.js';
export {holdDuration, maxHoldMs, spreadReturn} from './hold-duration.js';
export {RateSchedule, type Reservation} from './rate-schedule.js';
export {TargetHolds, type HeldTarget, type TargetHoldsOptions} from './target-holds.js';
export {TargetLimits, type LimitsMesh, type TargetLimitsOptions} from './target-limits.js';
