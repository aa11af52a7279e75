import type {Ms} from '../clock/index.js';
import type {SnapshotOrigin} from '../topics/index.js';

/** Time for which the end of an evacuation is remembered; a store comes back from a copy that is some seconds old. */
const endMemoryMs: Ms = 600_000;
/** Maximum number of ends that are remembered; the oldest are dropped first. */
const maxEnds = 1000;

/** A record of the evacuation of a zone. */
export interface EvacuationRecord {
	readonly zone: string;
	/** False for a record that deletes the evacuation. */
	readonly isOn: boolean;
}

/**
 * What an evacuation has started or ended by: a `record` that was read, a complete `snapshot` with or without it, or a
 * copy of the store that lacked it and in which it was `not_rewritten` in time.
 */
export type EvacuationCause = 'record' | 'snapshot' | 'not_rewritten';

/** Start or end of an evacuation. */
export interface EvacuationChange {
	readonly zone: string;
	readonly isOn: boolean;
	readonly cause: EvacuationCause;
	/** Time since the evacuation was first read; 0 at its start. */
	readonly ageMs: Ms;
}

type Evacuation = {readonly sinceMs: Ms; holdUntilMs: Ms};

/**
 * Evacuated zones by the records of the store. A copy of the store that is older than what is known neither ends an
 * evacuation at once nor brings one back that has ended: an evacuation that the copy lacks is held for `holdMs`, in which
 * its record can be written again, and one that had ended takes effect only by a record that is read after the copy.
 *
 * @example
 * ledger.applyRecords([{zone: 'riga-a', isOn: true}], now); // [{zone: 'riga-a', isOn: true, …}]
 * ledger.isEvacuated('riga-a'); // true
 */
export class EvacuationLedger {
	static create(holdMs: Ms): EvacuationLedger {
		return new EvacuationLedger(holdMs);
	}

	/** `holdUntilMs` is infinite unless a copy of the store lacks the record. */
	readonly #evacuations = new Map<string, Evacuation>();
	/** Times at which the ends of evacuations are forgotten, by zone, oldest first. */
	readonly #ends = new Map<string, Ms>();

	private constructor(private readonly holdMs: Ms) {}

	/** Evacuated zones. */
	get zones(): readonly string[] {
		return [...this.#evacuations.keys()];
	}

	/** Time at which {@link EvacuationLedger.expire} has something to do; infinite without any. */
	get expiresMs(): Ms {
		return Math.min(Infinity, ...[...this.#evacuations.values()].map(({holdUntilMs}) => holdUntilMs));
	}

	isEvacuated(zone: string): boolean {
		return this.#evacuations.has(zone);
	}

	/** Applies records that follow on what was read before, and returns the changes. */
	applyRecords(records: readonly EvacuationRecord[], now: Ms): EvacuationChange[] {
		return records.flatMap(({zone, isOn}) => isOn ? this.#start(zone, 'record', now) : this.#endForGood(zone, 'record', now));
	}

	/** Applies the evacuations of a complete snapshot, and returns the changes. */
	applySnapshot(zones: readonly string[], origin: SnapshotOrigin, now: Ms): EvacuationChange[] {
		this.#forgetEnds(now);
		const started = zones.filter(zone => origin === 'continued' || !this.#ends.has(zone)).flatMap(zone => this.#start(zone, 'snapshot', now));
		const missing = [...this.#evacuations].filter(([zone]) => !zones.includes(zone));
		if (origin === 'continued') {
			// A snapshot of the same copy lacks the record as well, which may still be written again.
			return [...started, ...missing.filter(([, {holdUntilMs}]) => holdUntilMs === Infinity).flatMap(([zone]) => this.#endForGood(zone, 'snapshot', now))];
		}

		for (const [, evacuation] of missing) {
			evacuation.holdUntilMs = now + this.holdMs;
		}

		return started;
	}

	/** Ends the evacuations that a copy of the store lacked and that were not written again in time, and returns the changes. */
	expire(now: Ms): EvacuationChange[] {
		return [...this.#evacuations].filter(([, {holdUntilMs}]) => holdUntilMs <= now).flatMap(([zone]) => this.#end(zone, 'not_rewritten', now));
	}

	#start(zone: string, cause: EvacuationCause, now: Ms): EvacuationChange[] {
		this.#ends.delete(zone);
		const evacuation = this.#evacuations.get(zone);
		if (evacuation) {
			evacuation.holdUntilMs = Infinity;
			return [];
		}

		this.#evacuations.set(zone, {sinceMs: now, holdUntilMs: Infinity});
		return [{
			zone, isOn: true, cause, ageMs: 0,
		}];
	}

	/** Ends an evacuation whose end was read. */
	#endForGood(zone: string, cause: EvacuationCause, now: Ms): EvacuationChange[] {
		this.#ends.delete(zone);
		this.#ends.set(zone, now + endMemoryMs);
		this.#forgetEnds(now);
		return this.#end(zone, cause, now);
	}

	#end(zone: string, cause: EvacuationCause, now: Ms): EvacuationChange[] {
		const evacuation = this.#evacuations.get(zone);
		this.#evacuations.delete(zone);
		return evacuation
			? [{
				zone, isOn: false, cause, ageMs: now - evacuation.sinceMs,
			}]
			: [];
	}

	#forgetEnds(now: Ms): void {
		for (const [zone, forgetMs] of this.#ends) {
			if (forgetMs > now && this.#ends.size <= maxEnds) {
				break;
			}

			this.#ends.delete(zone);
		}
	}
}
