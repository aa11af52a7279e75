import type {TargetEntry} from '../registry/index.js';

/** Maximum number of targets whose statements are kept, as many as an entry VM may list to others; the one that was recorded least recently is dropped. */
const maxTargets = 20_000;

/** What an entry tells of a start of its target: for how much longer it is cold. */
export type ColdStatement = Pick<TargetEntry, 'startedMs' | 'coldMs'>;

/**
 * Latest statements of entries about cold phases, by which an entry that is read again is told from one that its target has
 * written since. Entries do not say when they were written, and a complete list repeats those that were read before.
 *
 * @example
 * statements.isNews('e-1', entry); // true
 * statements.record('e-1', entry);
 * statements.isNews('e-1', entry); // false
 */
export class ColdStatements {
	static create(): ColdStatements {
		return new ColdStatements();
	}

	/** By the id of the target, least recently recorded first. Targets that have always been warm are left out. */
	readonly #latest = new Map<string, ColdStatement>();

	private constructor() {}

	/** Whether an entry of a complete list states anything else than the latest one, and is of no earlier start. */
	isNews(target: string, {startedMs, coldMs = 0}: ColdStatement): boolean {
		const latest = this.#latest.get(target);
		if (!latest || latest.startedMs !== startedMs) {
			return latest?.startedMs === undefined || startedMs === undefined || startedMs > latest.startedMs;
		}

		return latest.coldMs !== coldMs;
	}

	/** Records what an entry states. */
	record(target: string, {startedMs, coldMs = 0}: ColdStatement): void {
		if (!this.#latest.delete(target) && coldMs === 0) {
			return;
		}

		this.#latest.set(target, {startedMs, coldMs});
		if (this.#latest.size > maxTargets) {
			const [oldest] = this.#latest.keys();
			this.#latest.delete(oldest!);
		}
	}
}
