import {GuavamillError} from '../errors/index.js';

/**
 * Why a call to a target failed:
 * `not_sent`: the call was not sent; `refused`: the target rejected the call without running it (overloaded or draining);
 * `failed`: the target replied with an error and may have run the call; `lost`: no complete reply was received;
 * `mismatch`: the reply belongs to another request, stage or attempt.
 */
export type TargetFailure = 'not_sent' | 'refused' | 'failed' | 'lost' | 'mismatch';

/**
 * Thrown when a call to a target fails; `failure` tells whether the target may have run the call.
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
