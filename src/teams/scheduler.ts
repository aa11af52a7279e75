import type {Ms} from '../clock/index.js';
import type {Pipeline, Stage} from '../config/declarations.js';
import type {PromptSegment, ShareClass} from '../targets/engine-port.js';
import type {Target} from '../targets/target.js';

/** What admission control knows of a request. */
export interface RequestEstimate {
	readonly requestId: string;
	readonly team: string;
	readonly pipeline: Pipeline;
	readonly prompt: readonly PromptSegment[];
	readonly maxTokens: number;
	/** Remaining time budget in ms. */
	readonly remainingMs: Ms;
}

/** Decision of admission control. `predictedMs` is the predicted time to the whole answer. */
export type AdmissionDecision =
	| {readonly admitted: true; readonly predictedMs: Ms}
	| {readonly admitted: false; readonly predictedMs: Ms; readonly reason: 'overloaded' | 'no_target'};

/** One stage attempt that waits for a target. */
export interface StageWork {
	readonly requestId: string;
	readonly team: string;
	readonly pipeline: Pipeline;
	readonly stage: Stage;
	readonly attempt: number;
	readonly prompt: readonly PromptSegment[];
	readonly maxTokens: number;
	/** Absolute deadline on the clock's monotonic time. */
	readonly deadlineMs: Ms;
	/** False when the attempt must not be revoked; the stage's declaration when absent. */
	readonly idempotent?: boolean;
	/** Targets that failed earlier attempts, the latest last; chosen again only when no other exists. */
	readonly failedTargets: readonly string[];
}

/** How an attempt ended; `serviceMs` from dispatch to the end, `firstMs` to the first chunk. */
export interface AttemptResult {
	readonly outcome: 'ok' | 'failed' | 'lost' | 'cancelled';
	readonly serviceMs: Ms;
	readonly firstMs?: Ms;
	readonly tokens?: number;
	readonly bytes?: number;
}

/** Permission to send one attempt to one target now. `settle` must be called exactly once. */
export interface Grant {
	readonly target: Target;
	readonly shareClass: ShareClass;
	/** Aborts when the scheduler takes the slot back (idempotent above-share work only); the attempt is then made again. */
	readonly revoked: AbortSignal;
	settle(result: AttemptResult): void;
}

/** Why no grant was given. */
export type AcquireFailure = 'deadline' | 'no_target' | 'aborted' | 'overloaded';

/** Queues attempts by team before each pool and grants targets. */
export interface Scheduler {
	admit(estimate: RequestEstimate): AdmissionDecision;
	/** Waits for a target; throws `AcquireError` when the deadline passes, no target exists, or `signal` aborts. */
	acquire(work: StageWork, signal: AbortSignal): Promise<Grant>;
	/** True when the team may retry in this pool; spends one unit of the retry budget. */
	spendRetry(team: string, pool: string): boolean;
}
