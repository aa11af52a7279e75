import type {Ms} from '../clock/index.js';
import type {StageCallOutcome} from './stage-job.js';
import type {CalledPiece} from './stage-pool.js';
import type {StageTarget} from './stage-target-state.js';

/** One call to a stage target. */
export interface StageTargetCall {
	readonly target: StageTarget;
	readonly pieces: readonly CalledPiece[];
	readonly timeoutMs: Ms;
	readonly now: Ms;
}

/** Port to the targets of stage services. */
export interface StageTargetPort {
	/** Sends a call; never rejects. */
	run(call: StageTargetCall): Promise<StageCallOutcome>;
	/** Gives results up at the target that made them. Rejects when it does not answer. */
	free(maker: string, handles: readonly string[]): Promise<void>;
	/** Address of the target that made a result. */
	producerOf(handle: string): string;
}
