/** Share of responses that must have been interrupted; below it, the results of more than 100 streams would take memory for each one that is resumed. */
const minInterruptedShare = 0.01;

/** What decides whether the stage results of a request are retained after its response has started. */
export interface RetentionInputs {
	/** Whether another attempt may follow the one that responds. */
	readonly mayResume: boolean;
	/** Number of responses with stage results that have started recently. */
	readonly started: number;
	/** Number of responses with stage results that were interrupted after their start recently. */
	readonly interrupted: number;
	/** Bytes of results of the stage service that this entry VM retains. */
	readonly retainedBytes: number;
	/** Bytes of results of the stage service that the request has; 0 if their size is not declared. */
	readonly bytes: number;
	/** Maximum number of bytes of results of the stage service that this entry VM may retain. */
	readonly maxBytes: number;
}

/**
 * Whether results are retained, or why not. `no_attempt`: no attempt may follow;
 * `no_interruptions`: too few streams were interrupted; `unknown_size`: the bound
 * cannot be kept for results without a size; `no_room`: they would exceed the bound.
 */
export type RetentionDecision = 'retain' | 'no_attempt' | 'no_interruptions' | 'unknown_size' | 'no_room';

/**
 * Decides whether the results that a request has of one stage service are retained after the start of its response.
 *
 * @example
 * decideRetention({mayResume: true, started: 40, interrupted: 12, retainedBytes: 0, bytes: 2000, maxBytes: 1_000_000}); // 'retain'
 */
export function decideRetention({mayResume, started, interrupted, retainedBytes, bytes, maxBytes}: RetentionInputs): RetentionDecision {
	if (!mayResume) {
		return 'no_attempt';
	}

	if (interrupted === 0 || interrupted < started * minInterruptedShare) {
		return 'no_interruptions';
	}

	if (bytes <= 0) {
		return 'unknown_size';
	}

	return retainedBytes + bytes <= maxBytes ? 'retain' : 'no_room';
}
