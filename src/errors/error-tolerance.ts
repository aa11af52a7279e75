import type {Clock, Ms} from '../clock/index.js';

/** Options of {@link ErrorTolerance}. */
export interface ErrorToleranceOptions {
	readonly clock: Clock;
	/** Number of errors within the window up to which the process goes on. */
	readonly maxErrors: number;
	readonly windowMs: Ms;
}

/**
 * Decides whether a process goes on after an error that nothing has handled. A single one concerns a single request or
 * message, and ending the process would break off all others; many in a short time show that the process cannot work.
 *
 * @example
 * if (!tolerance.isTolerable()) { process.exit(1); }
 */
export class ErrorTolerance {
	static create(options: ErrorToleranceOptions): ErrorTolerance {
		return new ErrorTolerance(options);
	}

	#times: Ms[] = [];

	private constructor(private readonly options: ErrorToleranceOptions) {}

	/** Records an error and returns whether the process goes on. */
	isTolerable(): boolean {
		const {clock, maxErrors, windowMs} = this.options;
		const now = clock.now();
		this.#times = [...this.#times.filter(time => time > now - windowMs), now];
		return this.#times.length <= maxErrors;
	}
}
