import type {Ms} from '../clock/index.js';

/** Times of the tries of an act that fails for a while. */
export interface RetrySchedule {
	/** Time after the first try at which the last one is made. */
	readonly timeoutMs: Ms;
	/** Delay after the first try; doubles with each further one up to the maximum. */
	readonly initialDelayMs: Ms;
	readonly maxDelayMs: Ms;
}

/**
 * Returns the delay before the next try; `undefined` if the time for tries is used up. The last try comes when the time
 * ends, not before.
 *
 * @example
 * const delayMs = nextRetryDelay({tries: 3, elapsedMs: 700}, schedule);
 */
export function nextRetryDelay({tries, elapsedMs}: {tries: number; elapsedMs: Ms}, {timeoutMs, initialDelayMs, maxDelayMs}: RetrySchedule): Ms | undefined {
	return elapsedMs >= timeoutMs ? undefined : Math.min(maxDelayMs, initialDelayMs * (2 ** (tries - 1)), timeoutMs - elapsedMs);
}
