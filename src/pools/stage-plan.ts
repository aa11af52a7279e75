import type {Ms} from '../clock/index.js';
import type {AllowedRegions} from '../placement/index.js';
import type {StageCrash, StageFailure} from './stage-job.js';

/** One stage of a plan. */
export interface PlannedStage {
	readonly service: string;
	/** Indexes of the stages whose results it takes as input. */
	readonly after: readonly number[];
	/** Approximate size of one result, in bytes. */
	readonly resultBytes: number;
	/** Number of pieces, the units of work that yield one result each; 0 skips the stage. */
	readonly pieces: number;
}

/** Execution plan for the stages of one request. */
export interface StagePlan {
	/** Id of the request attempt, as sent to targets. */
	readonly attemptId: string;
	readonly stages: readonly PlannedStage[];
	/** Number of pieces of each stage that earlier runs of the request's stages may have sent; absent in the first run. */
	readonly sentPieces?: readonly number[] | undefined;
	/** Key of the source data, for pieces that take no results as input. */
	readonly pieceKey: string | undefined;
	/** Availability zone in which the final call, to the engine, is likely to run. */
	readonly zone: string;
	/** Regions in which its stages may run; absent if in any. */
	readonly regions?: AllowedRegions;
	/** Priority of the request; 0 is the highest. */
	readonly priority: number;
	/** Latest start time of the final call at which the request can still meet its latency objective. */
	readonly callByMs: Ms;
	/** Time after which the results are no longer useful. */
	readonly deadlineMs: Ms;
	/** Called for each crash of a target that had pieces of the plan, also a short time after the plan has ended. */
	readonly onCrash?: ((crash: StageCrash) => void) | undefined;
}

/** Result of a final stage, that is, one whose results no other stage takes as input. */
export interface StageResult {
	readonly handle: string;
	/** Availability zone of the target that holds it. */
	readonly zone: string;
	readonly bytes: number;
}

/** Why a plan ended without results. */
export interface StagePlanFailure {
	readonly failure: StageFailure;
	/** Delay after which a retry may succeed. */
	readonly retryAfterMs: Ms;
	/** Number of pieces of each stage that this run or earlier ones may have sent; absent if all may have been. */
	readonly sentPieces?: readonly number[] | undefined;
}

/** Outcome of a plan: the results of its final stages, ordered by stage and piece, or the failure. */
export type StagePlanOutcome = {readonly results: readonly StageResult[]} | StagePlanFailure;

/** Runs stage plans. */
export interface StageRunner {
	/** Resolves with the results or the failure; never rejects. Aborting the signal cancels the remaining stages. */
	run(plan: StagePlan, signal: AbortSignal): Promise<StagePlanOutcome>;
	/** Releases results that are no longer needed. */
	free(handles: readonly string[]): void;
}
