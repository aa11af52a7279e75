import {randomBytes} from 'node:crypto';
import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logs/index.js';
import {LinkKey} from './link-key.js';

const keyBytes = 32;
/** Pause after a call that failed. */
const retryMs: Ms = 500;

/** Port to the place where a deployment keeps its link key. Both calls throw when it does not answer. */
export interface LinkKeyStore {
	read(): Promise<string | undefined>;
	/** Writes the key if there is none yet; false when there may be one. */
	writeFirst(key: string): Promise<boolean>;
}

/**
 * Returns the link key of the deployment; the first entry VM makes it. Tries until the store answers.
 *
 * @example
 * const key = await agreeOnLinkKey({store, clock, logger});
 */
export async function agreeOnLinkKey({store, clock, logger}: {store: LinkKeyStore; clock: Clock; logger: PartLogger}): Promise<LinkKey> {
	for (;;) {
		try {
			const known = await store.read();
			if (known !== undefined) {
				return LinkKey.create(known);
			}

			// Whoever wrote it, the key that counts is the one read back.
			await store.writeFirst(randomBytes(keyBytes).toString('hex'));
		} catch (err) {
			logger.warn('Cannot agree on the link key yet.', {error: errorMessage(err)});
			await clock.sleep(retryMs);
		}
	}
}
