import {GuavamillError} from '../errors/index.js';
import type {RejectionReason} from './result.js';

/** A request cannot go on; the lifecycle decides whether it is `not_run` or `unknown`. @internal */
export class RequestError extends GuavamillError {
	static create(reason: RejectionReason, message: string, cause?: unknown): RequestError {
		return new RequestError(reason, message, {cause});
	}

	override name = 'RequestError';

	private constructor(readonly reason: RejectionReason, message: string, options: ErrorOptions) {
		super(message, options);
	}
}
