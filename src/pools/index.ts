export {HeldBackError} from './held-back-error.js';
export {MeshStageRunner, type StageMessage} from './mesh-stage-runner.js';
export {PoolHost, type LostStageCall, type PoolHostOptions} from './pool-host.js';
export {RetryBudgets, shareRenewalMs} from './retry-budgets.js';
export {RequestRetry} from './request-retry.js';
export {RetryLoans, type RetryLoanMessage} from './retry-loans.js';
export {RetrySpendLog, type RetryCause} from './retry-spend-log.js';
export {
	ServiceRetryBudget, type RetryBudgetState, type RetryLimits, type RetryShares, type RetrySpend,
} from './service-retry-budget.js';
export type {
	PieceResult, StageCallOutcome, StageCrash, StageFailure, StageJob, StageJobOutcome, ZoneTransfer,
} from './stage-job.js';
export {StagePool, type CalledPiece, type StageCall} from './stage-pool.js';
export type {
	PlannedStage, StagePlan, StageResult, StageRunner, StagePlanOutcome,
} from './stage-plan.js';
export type {StageTargetCall, StageTargetPort} from './stage-target-port.js';
export type {StageTarget} from './stage-target-state.js';
