import {Buffer} from 'node:buffer';
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

/** Dependencies of {@link getOrCreateLinkKey}. */
export interface LinkKeyOptions {
	readonly store: LinkKeyStore;
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Key in use, which is stored if none is. */
	readonly current?: LinkKey | undefined;
}

/**
 * Returns the link key of the deployment, and creates it if none is stored. The stored key is that of all entry VMs,
 * even if it differs from the one in use. Retries until the store is available.
 *
 * @example
 * const key = await getOrCreateLinkKey({store, clock, logger});
 */
export async function getOrCreateLinkKey({store, clock, logger, current}: LinkKeyOptions): Promise<LinkKey> {
	const created = current ? Buffer.from(current.reveal()).toString('utf8') : randomBytes(keyBytes).toString('hex');
	for (;;) {
		try {
			const stored = await store.read();
			if (stored !== undefined) {
				return LinkKey.create(stored);
			}

			// Another VM may have written its key first, so the key is always read back from the store.
			await store.createIfAbsent(created);
		} catch (err) {
			logger.warn('Cannot read or create the link key; retrying.', {error: errorMessage(err)});
			await clock.sleep(retryDelayMs);
		}
	}
}
