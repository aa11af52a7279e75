/** A duration or a point in time, in milliseconds. */
export type Ms = number;

/** Cancels a pending timer; calling it again does nothing. */
export type CancelTimer = () => void;

/**
 * Source of time for every module, so that tests control it.
 *
 * @example
 * const deadline = clock.now() + 9000;
 */
export interface Clock {
	/** Monotonic time in ms; its origin is arbitrary. */
	now(): Ms;
	/** Wall-clock time in ms since 1970; may step backward. Never used for deadlines or claims. */
	wall(): Ms;
	/** Calls `fn` once after `delay` ms. */
	after(delay: Ms, fn: () => void): CancelTimer;
	/** Resolves after `delay` ms, or at once when `signal` aborts. */
	sleep(delay: Ms, signal?: AbortSignal): Promise<void>;
}
