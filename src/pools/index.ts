export {LinkedPools, poolKey, type StageMessage} from './linked-pools.js';
export {PoolHost, type PoolHostOptions} from './pool-host.js';
export {RepeatBudget, type RepeatLimits} from './repeat-budget.js';
export type {
	PieceResult, StageCallEnd, StageFailure, StageJob, StageOutcome, ZonePull,
} from './stage-job.js';
export {StagePool, type CalledPiece, type StageCall} from './stage-pool.js';
export type {StagePools} from './stage-pools.js';
export type {StageTargetCall, StageTargetPort} from './stage-target-port.js';
export type {StageTarget} from './stage-target-state.js';
