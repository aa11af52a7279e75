import type {Clock, Ms} from './clock.js';

/**
 * Sleeps on a clock's timers. Resolves early, without error, when the signal aborts.
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
