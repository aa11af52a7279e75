import type {Clock, Ms} from '../clock/index.js';

/** Counts of requests since the start of a process. */
export interface RequestProgress {
	readonly arrived: number;
	/** Answers of whatever kind, and beginnings of responses, which may be streams that go on for longer than a window. */
	readonly answered: number;
}

/** Options of {@link ErrorTolerance}. */
export interface ErrorToleranceOptions {
	readonly clock: Clock;
	/** Number of errors within the window up to which the process goes on in any case. */
	readonly maxErrors: number;
	readonly windowMs: Ms;
	/** Number of requests that have to arrive in the window for it to tell that none is answered. */
	readonly minRequests: number;
	/** Returns the counts of requests. */
	readonly progress: () => RequestProgress;
}

/**
 * Decides whether a process goes on after errors that nothing has handled. Their number alone does not show that it cannot
 * work: one cause, such as a target that ends, may touch all requests in progress, and ending the process would break off
 * the others too. It cannot work if errors go on for a whole window in which requests arrive and none is answered.
 *
 * @example
 * if (!tolerance.isTolerable()) { await shutdown(); }
 */
export class ErrorTolerance {
	static create(options: ErrorToleranceOptions): ErrorTolerance {
		return new ErrorTolerance(options);
	}

	#window: {readonly startMs: Ms; readonly progress: RequestProgress; errors: number} | undefined;

	private constructor(private readonly options: ErrorToleranceOptions) {}

	/** Records an error and returns whether the process goes on. */
	isTolerable(): boolean {
		const {clock, windowMs, progress} = this.options;
		const now = clock.now();
		const window = this.#window;
		if (window && now - window.startMs < windowMs) {
			window.errors++;
			return true;
		}

		const current = progress();
		this.#window = {startMs: now, progress: current, errors: 1};
		// A window that ended long ago tells nothing of now.
		return !window || now - window.startMs >= 2 * windowMs || !this.#isBroken(window, current);
	}

	#isBroken(window: {readonly progress: RequestProgress; readonly errors: number}, current: RequestProgress): boolean {
		const {maxErrors, minRequests} = this.options;
		return window.errors > maxErrors && current.arrived - window.progress.arrived >= minRequests && current.answered === window.progress.answered;
	}
}
