import type {Ms} from '../clock/index.js';

/** A record of a topic that retains the newest value of each key; a record without a value deletes its key. */
export interface KeyedRecord {
	readonly key: string;
	readonly value: Uint8Array | undefined;
}

/** The newest record of each key; `end` is the offset at which to continue reading, in the history of `era`. */
export interface KeyedSnapshot {
	readonly records: readonly KeyedRecord[];
	readonly end: number;
	readonly era: number;
}

/** Records from an offset on, in the history of `era`; `expired` if the store does not have some of them or the topic ends before the offset. */
export type KeyedPage =
	| {readonly kind: 'records'; readonly records: readonly KeyedRecord[]; readonly next: number; readonly era: number}
	| {readonly kind: 'expired'; readonly era: number};

/** Read access to one keyed topic of the store. Both methods throw if the store does not respond. */
export interface KeyedTopic {
	newest(): Promise<KeyedSnapshot>;
	/** Resolves with the records from an offset on, or with none after `waitMs`. */
	read(from: number, waitMs: Ms): Promise<KeyedPage>;
}

/** Write access to a keyed topic. Both methods throw if the store does not acknowledge the write. */
export interface KeyedWriter {
	put(key: string, value: Uint8Array): Promise<void>;
	remove(key: string): Promise<void>;
}
