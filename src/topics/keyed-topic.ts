import type {Ms} from '../clock/index.js';

/** A record of a topic that keeps the newest value of each key; without a value the key is dropped. */
export interface KeyedRecord {
	readonly key: string;
	readonly value: Uint8Array | undefined;
}

/** The newest record of every key; `end` is the offset from which to read on. */
export interface KeyedSnapshot {
	readonly records: readonly KeyedRecord[];
	readonly end: number;
}

/** Records after an offset; `expired` when the store no longer has them, or ends before that offset. */
export type KeyedPage = {readonly kind: 'records'; readonly records: readonly KeyedRecord[]; readonly next: number} | {readonly kind: 'expired'};

/** Port to one keyed topic of the store. Both calls throw when the store does not answer. */
export interface KeyedTopic {
	newest(): Promise<KeyedSnapshot>;
	/** Resolves with the records from an offset on, or without any after `waitMs`. */
	read(from: number, waitMs: Ms): Promise<KeyedPage>;
}

/** Port for writing a keyed topic. Both calls throw when the store does not say that it was done. */
export interface KeyedWriter {
	put(key: string, value: Uint8Array): Promise<void>;
	remove(key: string): Promise<void>;
}
