import type {Clock, Ms} from '../clock/index.js';
import {nextRetryDelay, type RetrySchedule} from './next-retry-delay.js';

/** Failed try after which another one follows. */
export interface FailedTry {
	readonly err: unknown;
	/** Number of tries so far. */
	readonly tries: number;
	/** Time since the first try. */
	readonly elapsedMs: Ms;
	/** Time until the next try. */
	readonly delayMs: Ms;
}

/** Options of {@link retry}. */
export interface RetryOptions {
	readonly clock: Clock;
	readonly schedule: RetrySchedule;
	/** Ends the tries at once. */
	readonly signal?: AbortSignal | undefined;
	/** Whether another try may succeed; by default each may. */
	readonly isTemporary?: (err: unknown) => boolean;
	/** Called after each failed try that another one follows. */
	readonly onRetry: (failed: FailedTry) => void;
}

/**
 * Repeats an act until it succeeds. Throws its last error when the time for tries is used up, when the error is lasting, or
 * when `signal` aborts. A failed try must leave nothing behind that another one would meet.
 *
 * @example
 * const port = await retry(async () => listen(server, address), {clock, schedule, onRetry});
 */
export async function retry<T>(act: () => Promise<T>, {clock, schedule, signal, isTemporary = () => true, onRetry}: RetryOptions): Promise<T> {
	const startedMs = clock.now();
	for (let tries = 1; ; tries++) {
		try {
			return await act();
		} catch (err) {
			const elapsedMs = clock.now() - startedMs;
			const delayMs = isTemporary(err) ? nextRetryDelay({tries, elapsedMs}, schedule) : undefined;
			if (delayMs === undefined || signal?.aborted) {
				throw err;
			}

			onRetry({
				err, tries, elapsedMs, delayMs,
			});
			await clock.sleep(delayMs, signal);
			if (signal?.aborted) {
				throw err;
			}
		}
	}
}
