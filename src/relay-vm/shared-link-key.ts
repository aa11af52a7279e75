import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import {getOrCreateLinkKey, type LinkKey, type LinkKeyStore} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import type {Random} from '../random/index.js';

/** Time over which the entry VMs spread the check of the link key in a restored store. */
const spreadMs: Ms = 1000;

/** Options of {@link SharedLinkKey}. */
export interface SharedLinkKeyOptions {
	readonly store: LinkKeyStore;
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly random: Random;
	readonly isClosed: () => boolean;
	/** Called with a key that replaces the one in use. */
	readonly onReplaced: (key: LinkKey) => void;
}

/**
 * Link key of this entry VM, which all of them share through the store.
 *
 * @example
 * const key = await shared.get();
 */
export class SharedLinkKey {
	static create(options: SharedLinkKeyOptions): SharedLinkKey {
		return new SharedLinkKey(options);
	}

	#key: LinkKey | undefined;

	private constructor(private readonly options: SharedLinkKeyOptions) {}

	/** Resolves with the key, which is read from the store or created there the first time. */
	async get(): Promise<LinkKey> {
		const {store, clock, logger} = this.options;
		this.#key ??= await getOrCreateLinkKey({store, clock, logger});
		return this.#key;
	}

	/**
	 * Stores the link key again, or takes over the one that another entry VM has stored meanwhile, after the store has come
	 * back from a copy that may be older than the key. Never rejects.
	 */
	async restore(): Promise<void> {
		try {
			await this.#tryRestore();
		} catch (err) {
			this.options.logger.error('Cannot restore the link key; the current one remains in use.', {error: errorMessage(err)});
		}
	}

	async #tryRestore(): Promise<void> {
		const {store, clock, logger, random, isClosed, onReplaced} = this.options;
		const current = this.#key;
		if (!current) {
			return;
		}

		await clock.sleep(random.float() * spreadMs);
		if (isClosed()) {
			return;
		}

		const key = await getOrCreateLinkKey({
			store, clock, logger, current,
		});
		if (!key.equals(current)) {
			this.#key = key;
			onReplaced(key);
			logger.warn('Replaced the link key by the one that another entry VM has stored.');
		}
	}
}
