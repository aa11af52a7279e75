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
	/**
	 * Keys of targets whose newest record is malformed. Readers hold what they know of such a target, but one that has
	 * just read a snapshot knows nothing of it, so that its next entry is news.
	 */
	readonly #malformed = new Set<string>();
	/** Whether readers know nothing of a target that is not among the latest entries. */
	#isComplete = false;

	private constructor(private readonly decode: (record: KeyedRecord) => TargetEntry | undefined) {}

	/** Starts over with a snapshot. Entries of a restored store are not yet confirmed by their targets, so that the first record of each is news. */
	applySnapshot(records: readonly KeyedRecord[], origin: SnapshotOrigin): void {
		const before = new Map(this.#latest);
		this.#latest.clear();
		this.#malformed.clear();
		this.#isComplete = origin === 'continued';
		if (!this.#isComplete) {
			return;
		}

		for (const {key} of records) {
			if (before.get(key)) {
				this.#latest.set(key, before.get(key));
			}
		}

		this.apply(records);
	}

	/** Applies records that follow on those before. */
	apply(records: readonly KeyedRecord[]): void {
		for (const record of records) {
			const entry = this.decode(record);
			if (!entry && record.value !== undefined) {
				this.#malformed.add(record.key);
				continue;
			}

			this.#malformed.delete(record.key);
			if (entry !== undefined || !this.#isComplete) {
				this.#latest.set(record.key, entry);
			} else {
				this.#latest.delete(record.key);
			}
		}
	}

	/** Whether a record changes anything, or is a malformed one in the place of an entry. */
	isNews(record: KeyedRecord): boolean {
		const entry = this.decode(record);
		const latest = this.#latest.get(record.key);
		const isKnown = latest !== undefined || this.#isComplete || this.#latest.has(record.key);
		if (entry) {
			// How long a target stays cold differs with each entry.
			const isCold = entry.coldMs !== undefined && entry.coldMs > 0;
			return isCold || !(isKnown && latest !== undefined && !this.#malformed.has(record.key) && isSameEntry(latest, entry));
		}

		return record.value === undefined ? latest !== undefined || !isKnown : latest !== undefined && !this.#malformed.has(record.key);
	}
}

function isSameEntry(a: TargetEntry, b: TargetEntry): boolean {
	return a.address === b.address && a.service === b.service && a.zone === b.zone && a.startedMs === b.startedMs && a.isDraining === b.isDraining && a.slots === b.slots;
}
