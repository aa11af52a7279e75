import type {Clock, Ms} from './clock.js';

/**
 * Implements `Clock.sleep` with the timers of a clock. Resolves early, without an error, when the signal aborts.
 *
 * @internal
 */
export async function sleepOn(clock: Pick<Clock, 'after'>, delay: Ms, signal?: AbortSignal): Promise<void> {
	if (signal?.aborted) {
		return;
	}

	await new Promise<void>(resolve => {
		const finish = () => {
			cancel();
			signal?.removeEventListener('abort', finish);
			resolve();
		};

		const cancel = clock.after(delay, finish);
		signal?.addEventListener('abort', finish);
	});
}
