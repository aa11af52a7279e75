import {rankByRendezvous} from './rendezvous.js';

/**
 * Number of watchers of a target, the entry VMs of its zone that probe it. With two of them dead or partitioned, the
 * third still detects a draining target within a probe interval.
 */
const watchersPerTarget = 3;

/**
 * Assigns the targets of a zone to its entry VMs by rendezvous hashing, so that the number of probes of a target does
 * not grow with the number of entry VMs.
 *
 * @internal
 */
export class TargetWatchers {
	static create(self: string): TargetWatchers {
		return new TargetWatchers(self);
	}

	/** Cached decisions for the current peers: ranking every target each second would cost a few percent of a core. */
	readonly #decisions = new Map<string, boolean>();
	#peers = '';

	private constructor(private readonly self: string) {}

	/** Returns true when this entry VM probes a target of its zone; `linked` holds the linked peers of the zone. */
	isWatcher(target: string, linked: readonly string[]): boolean {
		if (linked.length < watchersPerTarget) {
			return true;
		}

		this.#clearWhenChanged(linked);
		let decision = this.#decisions.get(target);
		if (decision === undefined) {
			decision = rankByRendezvous(`watch ${target}`, [...linked, this.self]).slice(0, watchersPerTarget).includes(this.self);
			this.#decisions.set(target, decision);
		}

		return decision;
	}

	#clearWhenChanged(linked: readonly string[]): void {
		const peers = linked.toSorted().join(' ');
		if (peers !== this.#peers) {
			this.#peers = peers;
			this.#decisions.clear();
		}
	}
}
