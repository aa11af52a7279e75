import type {Ms} from '../clock/index.js';

/** Number of entry VMs from a time on. */
type Sample = {readonly count: number; readonly sinceMs: Ms};

/**
 * Tracks the largest number of entry VMs that were known at one time within a period. Shares that are divided by it stay
 * small enough while entry VMs leave, are cut off or are not listed for a while.
 *
 * @example
 * fleet.record(9, {now, isCurrent: true});
 * fleet.largest(now); // 9
 */
export class FleetSize {
	/** `keepMs` returns the length of the period. */
	static create(options: {keepMs: () => Ms}): FleetSize {
		return new FleetSize(options.keepMs);
	}

	/** Changes of the number, oldest first; the first one is the latest before the period. */
	readonly #samples: Sample[] = [];

	private constructor(private readonly keepMs: () => Ms) {}

	/** Records the number of entry VMs. One that does not come from a current list (`isCurrent`) can only raise it. */
	record(count: number, {now, isCurrent}: {now: Ms; isCurrent: boolean}): void {
		const latest = this.#samples.at(-1);
		const counted = isCurrent ? count : Math.max(count, latest?.count ?? 0);
		if (counted !== latest?.count) {
			this.#samples.push({count: counted, sinceMs: now});
		}

		this.#expire(now);
	}

	/** Returns the largest number within the period; `undefined` if none is known. */
	largest(now: Ms): number | undefined {
		this.#expire(now);
		return this.#samples.length === 0 ? undefined : Math.max(...this.#samples.map(({count}) => count));
	}

	/** A number holds until the next one, so that it expires by the time of that one. */
	#expire(now: Ms): void {
		const startMs = now - this.keepMs();
		while (this.#samples.length > 1 && this.#samples[1]!.sinceMs <= startMs) {
			this.#samples.shift();
		}
	}
}
