import type {Ms} from '../clock/index.js';
import type {StageFailure} from './stage-job.js';

/** One stage of a plan. */
export interface PlannedStage {
	readonly service: string;
	/** Positions of the stages whose results it takes. */
	readonly after: readonly number[];
	/** Approximate size of one result, in bytes. */
	readonly resultBytes: number;
	/** Pieces; 0 leaves the stage out. */
	readonly pieces: number;
}

/** All stages of one request. */
export interface StagePlan {
	/** The request's attempt, as targets know it. */
	readonly attemptId: string;
	readonly stages: readonly PlannedStage[];
	/** Names the material of pieces that take no results. */
	readonly pieceKey: string | undefined;
	/** Availability zone in which the last call is likely to run. */
	readonly zone: string;
	/** Rank of the request; 0 is the most important. */
	readonly priority: number;
	/** Time at which the last call has to start so that the objective is met. */
	readonly callByMs: Ms;
	/** Time after which the results are of no use. */
	readonly deadlineMs: Ms;
}

/** A result of a stage that no other stage takes. */
export interface StageResult {
	readonly handle: string;
	/** Availability zone of its maker. */
	readonly zone: string;
	readonly bytes: number;
}

/** Results of the stages that no other stage takes, by stage and piece; or why there are none. */
export type StagePlanOutcome = {readonly results: readonly StageResult[]} | {readonly failure: StageFailure; readonly retryAfterMs: Ms};

/** Runs the stages of requests. */
export interface StageRunner {
	/** Resolves with the results or the reason why there are none; never rejects. An abort cancels what is left. */
	run(plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome>;
	/** Gives results up. */
	free(handles: readonly string[]): void;
}
