import {rankByRendezvous} from './rendezvous.js';

/**
 * Entry VMs of a zone that probe the same target: with two of them dead or cut off, draining news still takes no
 * longer than a probe interval.
 */
const watchersPerTarget = 3;

/**
 * Divides the targets of a zone among its entry VMs by rendezvous hashing, so that probes of a target do not grow with
 * the number of entry VMs.
 *
 * @internal
 */
export class TargetWatchers {
	static create(self: string): TargetWatchers {
		return new TargetWatchers(self);
	}

	/** Decisions for the present peers: ranking every target each second would cost a few percent of a core. */
	readonly #decisions = new Map<string, boolean>();
	#peers = '';

	private constructor(private readonly self: string) {}

	/** True when this entry VM watches a target of its zone, given the peers of the zone that it is linked with. */
	isWatcher(target: string, linked: readonly string[]): boolean {
		if (linked.length < watchersPerTarget) {
			return true;
		}

		this.#forget(linked);
		let decision = this.#decisions.get(target);
		if (decision === undefined) {
			decision = rankByRendezvous(`watch ${target}`, [...linked, this.self]).slice(0, watchersPerTarget).includes(this.self);
			this.#decisions.set(target, decision);
		}

		return decision;
	}

	#forget(linked: readonly string[]): void {
		const peers = linked.toSorted().join(' ');
		if (peers !== this.#peers) {
			this.#peers = peers;
			this.#decisions.clear();
		}
	}
}
