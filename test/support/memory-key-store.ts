import type {LinkKeyStore} from '../../src/links/index.js';

/** Store of a link key in memory, whose key a test may change. */
export class MemoryKeyStore implements LinkKeyStore {
	key: string | undefined;

	async read(): Promise<string | undefined> {
		return this.key;
	}

	async createIfAbsent(key: string): Promise<boolean> {
		this.key ??= key;
		return this.key === key;
	}
}
