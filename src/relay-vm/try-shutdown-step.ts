import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';

/** Takes a step of the shutdown; never rejects. After one that fails, the others matter no less: requests in progress depend on them. */
export async function tryShutdownStep(logger: PartLogger, step: string, take: () => void | Promise<void>): Promise<void> {
	try {
		await take();
	} catch (err) {
		logger.error('A step of the shutdown failed; going on.', {step, error: errorMessage(err), stack: err instanceof Error ? err.stack : undefined});
	}
}
