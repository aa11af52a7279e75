import type {Ms} from '../clock/index.js';
import type {Pipeline, Stage} from '../config/declarations.js';
import type {PromptSegment, ShareClass} from '../targets/engine-port.js';
import type {Target} from '../targets/target.js';

/** Properties of a request that admission control uses. */
export interface AdmissionRequest {
	readonly requestId: string;
	readonly team: string;
	readonly pipeline: Pipeline;
	readonly prompt: readonly PromptSegment[];
	readonly maxTokens: number;
	/** Remaining time budget. */
	readonly remainingMs: Ms;
}

/** Decision of admission control. `predictedMs` is the predicted time until the response is complete. */
export type AdmissionDecision =
	| {readonly admitted: true; readonly predictedMs: Ms}
	| {readonly admitted: false; readonly predictedMs: Ms; readonly reason: 'overloaded' | 'no_target'};

/** A stage attempt that needs a target. */
export interface StageWork {
	readonly requestId: string;
	readonly team: string;
	readonly pipeline: Pipeline;
	readonly stage: Stage;
	readonly attempt: number;
	readonly prompt: readonly PromptSegment[];
	readonly maxTokens: number;
	/** Deadline in the clock's monotonic time. */
	readonly deadlineMs: Ms;
	/** False when the attempt must not be revoked. Defaults to the stage's declaration. */
	readonly idempotent?: boolean;
	/** Targets that failed earlier attempts, the latest last. They are chosen again only when no other target is available. */
	readonly failedTargets: readonly string[];
}

/** Result of an attempt. */
export interface AttemptResult {
	readonly outcome: 'ok' | 'failed' | 'lost' | 'cancelled';
	/** Time from dispatch to the end of the attempt. */
	readonly serviceMs: Ms;
	/** Time from dispatch to the first chunk. */
	readonly firstChunkMs?: Ms;
	readonly tokens?: number;
	readonly bytes?: number;
}

/** Permission to send one attempt to one target now. The holder must call `settle` exactly once. */
export interface Grant {
	readonly target: Target;
	readonly shareClass: ShareClass;
	/**
	 * Aborts when the scheduler revokes the grant; the attempt is then made again. Only idempotent attempts of teams above
	 * their share are revoked.
	 */
	readonly revoked: AbortSignal;
	settle(result: AttemptResult): void;
}

/** Reason why no target was granted. */
export type AcquireFailure = 'deadline' | 'no_target' | 'aborted' | 'overloaded';

/** Queues attempts per pool and team and grants targets to them. */
export interface Scheduler {
	/** Decides whether a request can complete within its time budget. */
	admit(request: AdmissionRequest): AdmissionDecision;
	/**
	 * Waits for a target. Rejects with `AcquireError` when the deadline passes, the queue is full, no target exists, or
	 * `signal` aborts.
	 */
	acquire(work: StageWork, signal: AbortSignal): Promise<Grant>;
	/** Spends one retry of the team's budget in a pool; returns false when none is left. */
	spendRetry(team: string, pool: string): boolean;
}
