import type {TargetEntry} from '../registry/index.js';
import type {KeyedRecord, SnapshotOrigin} from '../topics/index.js';

/**
 * Tells which records of the target topic change anything for a reader that has read the records before them: most only
 * show that a target is alive. It compares records of one history with each other, not with the targets that this entry
 * VM knows: after a restore, an entry that is no news to it may be news to an entry VM that has just started.
 *
 * @example
 * const isPassedOn = news.isNews(record);
 * news.apply([record]);
 */
export class TargetNews {
	static create(decode: (record: KeyedRecord) => TargetEntry | undefined): TargetNews {
		return new TargetNews(decode);
	}

	/** Newest entry of each target that was read in the current history; `undefined` for a deleted one. */
	readonly #latest = new Map<string, TargetEntry | undefined>();
	/** Whether readers know nothing of a target that is not among the latest entries. */
	#isComplete = false;

	private constructor(private readonly decode: (record: KeyedRecord) => TargetEntry | undefined) {}

	/** Starts over with a snapshot. Entries of a restored store are not yet confirmed by their targets, so that the first record of each is news. */
	applySnapshot(records: readonly KeyedRecord[], origin: SnapshotOrigin): void {
		this.#latest.clear();
		this.#isComplete = origin === 'continued';
		if (this.#isComplete) {
			this.apply(records);
		}
	}

	/** Applies records that follow on those before. */
	apply(records: readonly KeyedRecord[]): void {
		for (const record of records) {
			const entry = this.decode(record);
			if (entry) {
				this.#latest.set(record.key, entry);
			} else if (record.value === undefined && this.#isComplete) {
				this.#latest.delete(record.key);
			} else if (record.value === undefined) {
				this.#latest.set(record.key, undefined);
			}
		}
	}

	/** Whether a record changes anything. */
	isNews(record: KeyedRecord): boolean {
		const entry = this.decode(record);
		const latest = this.#latest.get(record.key);
		const isKnown = latest !== undefined || this.#isComplete || this.#latest.has(record.key);
		if (entry) {
			return !isKnown || !latest || !isSameEntry(latest, entry);
		}

		return record.value === undefined && (latest !== undefined || !isKnown);
	}
}

function isSameEntry(a: TargetEntry, b: TargetEntry): boolean {
	return a.address === b.address && a.service === b.service && a.zone === b.zone && a.startedMs === b.startedMs && a.isDraining === b.isDraining && a.slots === b.slots;
}
