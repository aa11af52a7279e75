import type {Ms} from '../clock/index.js';
import type {Random} from '../random/index.js';

/** Maximum jitter, so that usually one entry VM appends a snapshot and the others read it before their own is due. */
const maxJitterMs: Ms = 30_000;

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
	#isUrgent = false;

	private constructor(private readonly intervalMs: Ms, private readonly random: Random, now: Ms) {
		this.#dueAt = now + intervalMs + this.#jitterMs();
	}

	/** Reschedules after a valid snapshot of the given age was read. */
	snapshotRead(now: Ms, ageMs: Ms): void {
		this.#isUrgent = false;
		this.#dueAt = now + Math.max(0, this.intervalMs - ageMs) + this.#jitterMs();
	}

	/** Schedules an early snapshot when no valid one is readable: a new process cannot start without one after records expire. */
	snapshotMissing(now: Ms): void {
		if (!this.#isUrgent) {
			this.#isUrgent = true;
			this.#dueAt = Math.min(this.#dueAt, now + this.#jitterMs());
		}
	}

	/** Returns true once per due time. A failed append is retried after a tenth of the interval plus jitter. */
	takeDue(now: Ms): boolean {
		if (now < this.#dueAt) {
			return false;
		}

		this.#dueAt = now + (this.intervalMs / 10) + this.#jitterMs();
		return true;
	}

	#jitterMs(): Ms {
		return this.random.float() * Math.min(this.intervalMs / 10, maxJitterMs);
	}
}
