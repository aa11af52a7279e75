export {LinkedStages, type StageMessage} from './linked-stages.js';
export {PoolHost, type PoolHostOptions} from './pool-host.js';
export {RepeatBudget, type RepeatLimits} from './repeat-budget.js';
export type {
	PieceResult, StageCallEnd, StageFailure, StageJob, StageOutcome, ZonePull,
} from './stage-job.js';
export {StagePool, type CalledPiece, type StageCall} from './stage-pool.js';
export type {
	PlannedStage, StagePlan, StageResult, StageRunner, StagesOutcome,
} from './stage-plan.js';
export type {StageTargetCall, StageTargetPort} from './stage-target-port.js';
export type {StageTarget} from './stage-target-state.js';
