import {GuavamillError} from '../errors/index.js';

/**
 * Why a call to a target failed:
 * `not_sent` nothing left this process; `refused` the target declined before running (overloaded or draining);
 * `failed` the target answered with an error after it may have run; `lost` no complete answer arrived;
 * `mismatch` the answer names another request, stage or attempt.
 */
export type TargetFailure = 'not_sent' | 'refused' | 'failed' | 'lost' | 'mismatch';

/**
 * A call to a target failed.
 *
 * @example
 * throw TargetError.create('lost', 'Cannot call target enc-1: the connection closed');
 */
export class TargetError extends GuavamillError {
	static create(failure: TargetFailure, message: string, cause?: unknown): TargetError {
		return new TargetError(failure, message, {cause});
	}

	override name = 'TargetError';

	private constructor(readonly failure: TargetFailure, message: string, options: ErrorOptions) {
		super(message, options);
	}
}
