import {randomBytes} from 'node:crypto';
import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import {LinkKey} from './link-key.js';

const keyBytes = 32;
/** Delay before a retry after a failed store operation. */
const retryDelayMs: Ms = 500;

/** Storage for the link key of a deployment. Both methods throw if the store is unavailable. */
export interface LinkKeyStore {
	read(): Promise<string | undefined>;
	/** Writes the key if none is stored. Returns false if a key may already exist. */
	createIfAbsent(key: string): Promise<boolean>;
}

/**
 * Returns the link key of the deployment, and creates it if none is stored. Retries until the store is available.
 *
 * @example
 * const key = await getOrCreateLinkKey({store, clock, logger});
 */
export async function getOrCreateLinkKey({store, clock, logger}: {store: LinkKeyStore; clock: Clock; logger: PartLogger}): Promise<LinkKey> {
	for (;;) {
		try {
			const stored = await store.read();
			if (stored !== undefined) {
				return LinkKey.create(stored);
			}

			// Another VM may have written its key first, so the key is always read back from the store.
			await store.createIfAbsent(randomBytes(keyBytes).toString('hex'));
		} catch (err) {
			logger.warn('Cannot read or create the link key; retrying.', {error: errorMessage(err)});
			await clock.sleep(retryDelayMs);
		}
	}
}
