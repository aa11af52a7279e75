import type {Ms} from '../clock/index.js';

/** Bytes that are in a zone, or are wanted there. */
export interface ZoneTransfer {
	readonly zone: string;
	readonly bytes: number;
}

/** Pieces of one stage of one request, asked of a stage pool together. */
export interface StageJob {
	/** Unique among the jobs of a pool. */
	readonly id: string;
	/** The request's attempt, as targets know it. */
	readonly attemptId: string;
	/** Position of the stage in its route. */
	readonly stage: number;
	/** Number of pieces, at least 1. */
	readonly pieces: number;
	/** Names the material of pieces that take no results. */
	readonly key: string | undefined;
	/** Results that every piece takes. */
	readonly inputs: readonly string[];
	/** Approximate size of one result, in bytes. */
	readonly resultBytes: number;
	/** Bytes that move between zones unless the job runs in the named one. */
	readonly transfers: readonly ZoneTransfer[];
	/** Rank of the request; 0 is the most important. */
	readonly priority: number;
	/** Latest start with which the request still meets its objective. */
	readonly startByMs: Ms;
	/** Time after which the results are of no use. */
	readonly deadlineMs: Ms;
	/** True when most of the request's stages are done: giving it up now would waste them. */
	readonly isCommitted: boolean;
}

/** Why a job or a plan ended without results. `host_left` tells that nothing of it was started. */
export type StageFailure = 'late' | 'input_gone' | 'no_target' | 'failed' | 'cancelled' | 'overloaded' | 'host_left';

/** How a job ended: a result for each piece, in order, or a reason and the time after which a retry may succeed. */
export type StageJobOutcome = {readonly results: readonly string[]} | {readonly failure: StageFailure; readonly retryAfterMs: Ms};

/** Result of one piece of a call, in the order of the call. */
export type PieceResult = {readonly handle: string} | {readonly problem: 'late' | 'gone' | 'room' | 'error'};

/** How a call to a stage target ended. `refused` tells that nothing of it ran. */
export type StageCallOutcome =
	| {readonly kind: 'done'; readonly results: readonly PieceResult[]}
	| {readonly kind: 'refused'}
	| {readonly kind: 'unreachable'}
	| {readonly kind: 'failed'};
