import type {Ms} from '../clock/index.js';
import type {Random} from '../random/index.js';

/** Spread of the delay over the entry VMs, so that usually one of them writes and the others see its snapshot in time. */
const maxSpreadMs: Ms = 30_000;

/**
 * Decides when this process appends a snapshot.
 *
 * @internal
 */
export class SnapshotSchedule {
	static create(options: {intervalMs: Ms; random: Random; now: Ms}): SnapshotSchedule {
		return new SnapshotSchedule(options.intervalMs, options.random, options.now);
	}

	#dueAt: Ms;
	#urgent = false;

	private constructor(private readonly intervalMs: Ms, private readonly random: Random, now: Ms) {
		this.#dueAt = now + intervalMs + this.#spread();
	}

	/** A snapshot of the given age was read. */
	seen(now: Ms, ageMs: Ms): void {
		this.#urgent = false;
		this.#dueAt = now + Math.max(0, this.intervalMs - ageMs) + this.#spread();
	}

	/** No usable snapshot is readable although records have expired: a new process could not start. */
	missing(now: Ms): void {
		if (!this.#urgent) {
			this.#urgent = true;
			this.#dueAt = Math.min(this.#dueAt, now + this.#spread());
		}
	}

	/** True once per due time; a failed append is tried again after another delay. */
	takeDue(now: Ms): boolean {
		if (now < this.#dueAt) {
			return false;
		}

		this.#dueAt = now + (this.intervalMs / 10) + this.#spread();
		return true;
	}

	#spread(): Ms {
		return this.random.float() * Math.min(this.intervalMs / 10, maxSpreadMs);
	}
}
