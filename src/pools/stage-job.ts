import type {Ms} from '../clock/index.js';
import type {AllowedRegions} from '../placement/index.js';
import type {TargetLoad} from '../registry/index.js';

/** Bytes that a job transfers to or from a zone unless it runs there. */
export interface ZoneTransfer {
	readonly zone: string;
	readonly bytes: number;
}

/** All pieces of one stage of one request, submitted to a stage pool together. Each piece yields one result. */
export interface StageJob {
	/** Unique within a pool. */
	readonly id: string;
	/** Id of the request attempt, as sent to targets. */
	readonly attemptId: string;
	/** Index of the stage in its route. */
	readonly stage: number;
	/** Number of pieces, at least 1. */
	readonly pieces: number;
	/** Number of its pieces that earlier runs may have sent; absent for none. */
	readonly sentPieces?: number | undefined;
	/** Key of the source data, for pieces that take no results as input. */
	readonly key: string | undefined;
	/** Handles of the results that every piece takes as input. */
	readonly inputs: readonly string[];
	/** Approximate size of one result, in bytes. */
	readonly resultBytes: number;
	/** Bytes transferred between zones, by the zone in which the job would have to run to avoid the transfer; one entry per zone. */
	readonly transfers: readonly ZoneTransfer[];
	/** Regions in which its pieces may run; absent if in any. */
	readonly regions?: AllowedRegions;
	/** Priority of the request; 0 is the highest. */
	readonly priority: number;
	/** Latest start time at which the request can still meet its latency objective; `-Infinity` when it is not expected to meet it. */
	readonly startByMs: Ms;
	/** Time after which the results are no longer useful. */
	readonly deadlineMs: Ms;
	/** Whether at least half of the request's path is done, by expected time, so that dropping the job would waste that work. */
	readonly isCommitted: boolean;
	/** Called for each crash of a target that had pieces of the request. */
	readonly onCrash?: ((crash: StageCrash) => void) | undefined;
}

/** A crash of a stage target during a call with pieces of a request. */
export interface StageCrash {
	/** Id and start of the target. */
	readonly crash: string;
	readonly sentMs: Ms;
	readonly brokenMs: Ms;
}

/**
 * Why a job or a plan ended without results. `late`: it could not meet its deadline; `overloaded`: the targets lack the
 * throughput for it, or refused its calls; `host_left`: the host handed the plan over; `no_budget`: the retry budget does
 * not suffice to send its pieces again.
 */
export type StageFailure = 'late' | 'input_gone' | 'no_target' | 'failed' | 'cancelled' | 'overloaded' | 'host_left' | 'no_budget';

/** Outcome of a job: the result handle of each piece, in order, or the failure, the delay after which a retry may succeed and the number of pieces that were in a call, if any. */
export type StageJobOutcome = {readonly results: readonly string[]} | {readonly failure: StageFailure; readonly retryAfterMs: Ms; readonly sentPieces?: number};

/**
 * Outcome of one piece of a call: the handle of its result, or why there is none. `late`: too late for its deadline;
 * `gone`: an input no longer exists; `room`: the target has no memory for the result; `error`: any other failure.
 */
export type PieceResult = {readonly handle: string} | {readonly problem: 'late' | 'gone' | 'room' | 'error'};

/** What a stage target says of itself in a response. */
export interface StageTargetNotices {
	/** Requests per second that it takes from all entry VMs together; `undefined` without a limit. */
	readonly limitPerSecond?: number | undefined;
	/** Whether it is draining. */
	readonly isDraining?: boolean;
	/** Time for which it asks for no requests; absent if it does not ask for it, NaN if it cannot be read. */
	readonly retryAfterMs?: Ms;
	/** Requests that it may reject in a second without a crash; absent if it is not brittle, NaN if it cannot be read. */
	readonly brittlePerSecond?: number | undefined;
	/** Load that it tells; absent if it tells none that can be read. */
	readonly load?: TargetLoad;
}

/** Outcome of a call to a stage target; piece results are in the order of the call. `refused` means that no piece ran. */
export type StageCallOutcome =
	| ({readonly kind: 'done'; readonly results: readonly PieceResult[]} & StageTargetNotices)
	| ({readonly kind: 'refused' | 'failed'} & StageTargetNotices)
	/** `lost` if the call was sent: the connection ended, or no response arrived in time. */
	| {readonly kind: 'unreachable'; readonly lost?: 'broken' | 'silent'};
