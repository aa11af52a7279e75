/** A duration or a point in time, in milliseconds. */
export type Ms = number;

/** Cancels a pending timer; calling it again does nothing. */
export type CancelTimer = () => void;

/**
 * Source of time. All modules read time and set timers through it, so that tests can control time.
 *
 * @example
 * const deadline = clock.now() + 9000;
 */
export interface Clock {
	/** Returns the monotonic time in ms since an arbitrary origin. */
	now(): Ms;
	/** Returns the wall-clock time in ms since 1970. It may step backward, so it must not be used for deadlines or claims. */
	wall(): Ms;
	/** Calls `fn` once after `delay` ms. */
	after(delay: Ms, fn: () => void): CancelTimer;
	/** Resolves after `delay` ms, or as soon as `signal` aborts. */
	sleep(delay: Ms, signal?: AbortSignal): Promise<void>;
}
