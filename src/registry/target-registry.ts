import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import {GoneTargets} from './gone-targets.js';
import {RelayTarget, type TargetEntry} from './relay-target.js';

/** Time after a store outage within which targets rewrite the entries that expired during it. */
const outageGraceMs: Ms = 2000;
/** Minimum length of an outage during which entries may have expired. */
const minExpiringOutageMs: Ms = 1000;

/** Dependencies and listeners of a `TargetRegistry`. */
export interface TargetRegistryOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Called with each target that no longer accepts new work, because it is draining or was removed. */
	readonly onUnavailable?: (target: RelayTarget) => void;
	/** Called with each entry that is read of a target in use; `isStart` tells that it is another start than those known before, `isFromList` that it comes with a complete list, so that its age is unknown. */
	readonly onEntry?: (target: RelayTarget, entry: TargetEntry, isStart: boolean, isFromList: boolean) => void;
	/** Whether the target of a new entry is known to be draining, although the entry does not say so. */
	readonly isKnownToDrain?: (entry: TargetEntry) => boolean;
}

/**
 * Targets of all services by id. A target is one incarnation: another start under the same id replaces it. A target
 * whose entry disappears shortly after a store outage is kept until it has had time to write the entry again.
 *
 * @example
 * registry.put(entry);
 * registry.acceptingTargets('order-desk');
 */
export class TargetRegistry {
	static create(options: TargetRegistryOptions): TargetRegistry {
		return new TargetRegistry(options);
	}

	readonly #targets = new Map<string, RelayTarget>();
	readonly #services = new Map<string, RelayTarget[]>();
	/** Zones by address; never removed, because an address stays in its zone when another target reuses it. */
	readonly #zones = new Map<string, string>();
	readonly #pendingRemovals = new Map<string, CancelTimer>();
	#graceUntilMs: Ms = 0;

	readonly #gone: GoneTargets;

	private constructor(private readonly options: TargetRegistryOptions) {
		this.#gone = GoneTargets.create(options.clock);
	}

	/** Returns the targets of a service that accept new work. */
	acceptingTargets(service: string): readonly RelayTarget[] {
		return this.#services.get(service)?.filter(target => target.isAccepting) ?? [];
	}

	/** Returns the targets of a service, those that accept no new work included. */
	targetsOf(service: string): readonly RelayTarget[] {
		return this.#services.get(service) ?? [];
	}

	get size(): number {
		return this.#targets.size;
	}

	/** Returns the availability zone of the target at an address. */
	zoneAt(address: string): string | undefined {
		return this.#zones.get(address);
	}

	/** Returns all targets. */
	all(): Iterable<RelayTarget> {
		return this.#targets.values();
	}

	/** Returns the target with an id. */
	get(id: string): RelayTarget | undefined {
		return this.#targets.get(id);
	}

	/** Adds a target, or updates it from its current entry. */
	put(entry: TargetEntry): void {
		const target = this.#put(entry);
		if (target) {
			this.options.logger.info('Added a target.', {
				target: entry.id, service: entry.service, zone: entry.zone, address: entry.address, draining: entry.isDraining,
			});
		}
	}

	/** Returns the target if it was added. */
	#put(entry: TargetEntry, isFromList = false): RelayTarget | undefined {
		this.#pendingRemovals.get(entry.id)?.();
		this.#pendingRemovals.delete(entry.id);
		const existing = this.#targets.get(entry.id);
		if (existing && isSameIncarnation(existing.entry, entry)) {
			if (entry.isDraining && !existing.isDraining) {
				this.#markDraining(existing);
			}

			this.options.onEntry?.(existing, entry, false, isFromList);
			return undefined;
		}

		if (existing) {
			this.#remove(existing, 'replaced by another incarnation with the same id');
		}

		const gone = this.#gone.get(entry.id);
		const isListedAgain = gone !== undefined && isSameIncarnation(gone.entry, entry);
		const target = RelayTarget.create(entry);
		target.isDraining ||= (isListedAgain && gone.isDraining) || this.options.isKnownToDrain?.(entry) === true;
		this.#targets.set(entry.id, target);
		this.#zones.set(entry.address, entry.zone);
		this.#services.set(entry.service, [...this.#services.get(entry.service) ?? [], target]);
		this.options.onEntry?.(target, entry, !isListedAgain, isFromList);
		return target;
	}

	/** Removes a target whose entry was deleted, after the grace period if a store outage has just ended. */
	remove(id: string): void {
		const target = this.#targets.get(id);
		const {clock} = this.options;
		const graceMs = this.#graceUntilMs - clock.now();
		if (!target) {
			return;
		}

		if (graceMs <= 0 || target.isDraining) {
			this.#remove(target, 'its entry was deleted');
		} else if (!this.#pendingRemovals.has(id)) {
			this.#pendingRemovals.set(id, clock.after(graceMs, () => {
				this.#pendingRemovals.delete(id);
				this.#remove(target, 'its entry was not written again after a store outage');
			}));
		}
	}

	/** Replaces all entries with a complete list; targets not in it are removed, except those of `heldIds`, whose entries cannot be read. */
	replace(entries: readonly TargetEntry[], heldIds: readonly string[] = []): void {
		const listed = new Set([...entries.map(entry => entry.id), ...heldIds]);
		for (const id of [...this.#targets.keys()].filter(id => !listed.has(id))) {
			this.remove(id);
		}

		const added = entries.flatMap(entry => this.#put(entry, true) ?? []);
		this.options.logger.info('Read all targets.', {
			targets: entries.length, added: added.length, draining: entries.filter(entry => entry.isDraining).length, unreadable: heldIds.length,
		});
	}

	/**
	 * Merges a complete list that may be older than what is known, from a store that came back from a copy. What is known
	 * to be over stays over: targets that are gone, draining or replaced by a later start. Targets that are not in the list
	 * are kept until they have had time to write their entries again, and those of `heldIds`, whose entries cannot be read,
	 * in any case.
	 */
	merge(entries: readonly TargetEntry[], heldIds: readonly string[] = []): void {
		this.#startGrace();
		const listed = new Set([...entries.map(entry => entry.id), ...heldIds]);
		const missing = [...this.#targets.keys()].filter(id => !listed.has(id));
		for (const id of missing) {
			this.remove(id);
		}

		const current = entries.filter(entry => !this.#isOver(entry));
		const added = current.flatMap(entry => this.#put(entry, true) ?? []);
		this.options.logger.info('Merged the targets of a restored store.', {
			targets: entries.length, added: added.length, over: entries.length - current.length, missing: missing.length,
		});
	}

	/** Handles the end of a store outage: starts the grace period if entries may have expired during it. */
	storeRecovered(outageMs: Ms): void {
		if (outageMs >= minExpiringOutageMs) {
			this.#startGrace();
		}
	}

	#startGrace(): void {
		this.#graceUntilMs = this.options.clock.now() + outageGraceMs;
	}

	/** Whether an entry of an older list describes a target that is known to be gone, or a start that is followed by a later one. */
	#isOver(entry: TargetEntry): boolean {
		const gone = this.#gone.get(entry.id)?.entry;
		const latest = this.#targets.get(entry.id)?.entry ?? gone;
		return (gone !== undefined && isSameIncarnation(gone, entry)) || (latest?.startedMs !== undefined && entry.startedMs !== undefined && entry.startedMs < latest.startedMs);
	}

	/** Marks a target as draining, as reported by a source other than its entry. */
	markDraining(id: string): void {
		const target = this.#targets.get(id);
		if (target && !target.isDraining) {
			this.#markDraining(target);
		}
	}

	#markDraining(target: RelayTarget): void {
		target.isDraining = true;
		this.options.logger.info('A target is draining.', {target: target.id, service: target.entry.service});
		target.withdrawUnsent();
		this.options.onUnavailable?.(target);
	}

	#remove(target: RelayTarget, reason: string): void {
		target.isRemoved = true;
		this.#gone.add(target);
		this.#targets.delete(target.id);
		const {service} = target.entry;
		this.#services.set(service, this.#services.get(service)!.filter(other => other !== target));
		this.options.logger.info('Removed a target.', {target: target.id, service, reason});
		target.withdrawUnsent();
		this.options.onUnavailable?.(target);
	}
}

function isSameIncarnation(a: TargetEntry, b: TargetEntry): boolean {
	return a.address === b.address && a.service === b.service && (a.startedMs === b.startedMs || b.startedMs === undefined);
}
