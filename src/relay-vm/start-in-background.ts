import type {Clock} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import {retry} from '../retry/index.js';

/** Tries to bind the addresses for metrics and links, without which requests are served meanwhile. */
const schedule = {timeoutMs: Infinity, initialDelayMs: 500, maxDelayMs: 2000};

/** Options of {@link startInBackground}. */
export interface BackgroundStartOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Logged after each try that fails. */
	readonly message: string;
	/** Ends the tries. */
	readonly signal: AbortSignal;
	readonly act: () => Promise<void>;
}

/** Repeats an act until it succeeds or `signal` aborts, while requests are served; never rejects. */
export async function startInBackground({clock, logger, message, signal, act}: BackgroundStartOptions): Promise<void> {
	let failures = 0;
	try {
		await retry(act, {
			clock,
			schedule,
			signal,
			onRetry({err, tries, delayMs}) {
				failures = tries;
				logger.warn(message, {error: errorMessage(err), tries, next_in_ms: delayMs});
			},
		});
	} catch (err) {
		logger.warn('Gave up an address since this entry VM closes.', {error: errorMessage(err)});
		return;
	}

	if (failures > 0) {
		logger.info('Bound an address after further tries.', {tries: failures + 1});
	}
}
