import {GuavamillError} from '../errors/index.js';
import type {RejectionReason} from './result.js';

/** Error that ends a request; the request lifecycle decides whether its outcome is `not_run` or `unknown`. @internal */
export class RequestError extends GuavamillError {
	static create(reason: RejectionReason, message: string, cause?: unknown): RequestError {
		return new RequestError(reason, message, {cause});
	}

	override name = 'RequestError';

	private constructor(readonly reason: RejectionReason, message: string, options: ErrorOptions) {
		super(message, options);
	}
}
