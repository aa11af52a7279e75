import type {Ms} from '../clock/index.js';
import type {HeldBackError} from './held-back-error.js';
import type {StageCallOutcome} from './stage-job.js';
import type {CalledPiece} from './stage-pool.js';
import type {StageTarget} from './stage-target-state.js';

/** One call to a stage target. */
export interface StageTargetCall {
	readonly target: StageTarget;
	readonly pieces: readonly CalledPiece[];
	readonly timeoutMs: Ms;
	readonly now: Ms;
	/** Aborted when the call may no longer be sent; one that has a connection by then goes on. */
	readonly withdrawal?: AbortSignal;
}

/** Port to the targets of stage services, implemented by the platform. */
export interface StageTargetPort {
	/** Sends a call and resolves with its outcome; never rejects. */
	run(call: StageTargetCall): Promise<StageCallOutcome>;
	/** Releases results at the target that produced them. Rejects when the target does not answer, with a {@link HeldBackError} if it asks for no calls. */
	free(producer: string, handles: readonly string[]): Promise<void>;
	/** Returns the address of the target that produced a result. */
	producerOf(handle: string): string;
}
