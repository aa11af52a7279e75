import {GuavamillError} from '../errors/index.js';
import type {AcquireFailure} from './scheduler.js';

/** Thrown when no target was granted to a stage attempt. */
export class AcquireError extends GuavamillError {
	static create(failure: AcquireFailure, pool: string): AcquireError {
		return new AcquireError(failure, `Cannot get a target of pool ${pool}: ${failure}`);
	}

	override name = 'AcquireError';

	private constructor(readonly failure: AcquireFailure, message: string) {
		super(message);
	}
}
