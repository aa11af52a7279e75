import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logs/index.js';
import {RelayTarget, type TargetEntry} from './relay-target.js';

/** Entries that lapsed during an outage of the store are back this soon after its return. */
const relapseMs: Ms = 2000;
/** An outage at least this long may have made entries lapse. */
const lapsingOutageMs: Ms = 1000;

/** Parts and listeners of a registry. */
export interface TargetRegistryOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Told each target that takes no new work any more. */
	readonly onClosed?: (target: RelayTarget) => void;
}

/**
 * The targets of all services by id. A target is one incarnation: another start under the same id replaces it.
 * Entries that vanish just after an outage of the store are kept until the target has had time to write again.
 *
 * @example
 * registry.put(entry);
 * registry.open('order-desk');
 */
export class TargetRegistry {
	static create(options: TargetRegistryOptions): TargetRegistry {
		return new TargetRegistry(options);
	}

	readonly #targets = new Map<string, RelayTarget>();
	readonly #services = new Map<string, RelayTarget[]>();
	/** Zones by address; an address stays in its zone when another target gets it. */
	readonly #zones = new Map<string, string>();
	readonly #removals = new Map<string, CancelTimer>();
	#graceUntilMs: Ms = 0;

	private constructor(private readonly options: TargetRegistryOptions) {}

	/** Targets of a service that take new work. */
	open(service: string): readonly RelayTarget[] {
		return this.#services.get(service)?.filter(target => target.isOpen) ?? [];
	}

	get size(): number {
		return this.#targets.size;
	}

	/** Availability zone of the target at an address. */
	zoneAt(address: string): string | undefined {
		return this.#zones.get(address);
	}

	/** Every target. */
	all(): Iterable<RelayTarget> {
		return this.#targets.values();
	}

	/** Adds or updates a target. */
	put(entry: TargetEntry): void {
		this.#removals.get(entry.id)?.();
		this.#removals.delete(entry.id);
		const known = this.#targets.get(entry.id);
		if (known && isSameIncarnation(known.entry, entry)) {
			if (entry.isDraining && !known.isDraining) {
				this.#drain(known);
			}

			return;
		}

		if (known) {
			this.#remove(known, 'another incarnation has its id');
		}

		const target = RelayTarget.create(entry);
		this.#targets.set(entry.id, target);
		this.#zones.set(entry.address, entry.zone);
		this.#services.set(entry.service, [...this.#services.get(entry.service) ?? [], target]);
		this.options.logger.info('Found a target.', {
			target: entry.id, service: entry.service, zone: entry.zone, address: entry.address, draining: entry.isDraining,
		});
	}

	/** Removes a target whose entry is gone. */
	remove(id: string): void {
		const target = this.#targets.get(id);
		const {clock} = this.options;
		const graceMs = this.#graceUntilMs - clock.now();
		if (!target) {
			return;
		}

		if (graceMs <= 0 || target.isDraining) {
			this.#remove(target, 'its entry is gone');
		} else if (!this.#removals.has(id)) {
			this.#removals.set(id, clock.after(graceMs, () => {
				this.#removals.delete(id);
				this.#remove(target, 'its entry stayed away after an outage of the store');
			}));
		}
	}

	/** Takes a complete list: targets that are not in it are removed. */
	replace(entries: readonly TargetEntry[]): void {
		const listed = new Set(entries.map(entry => entry.id));
		for (const id of [...this.#targets.keys()].filter(id => !listed.has(id))) {
			this.remove(id);
		}

		for (const entry of entries) {
			this.put(entry);
		}
	}

	/** The store answers again after an outage. */
	storeRegained(outageMs: Ms): void {
		if (outageMs >= lapsingOutageMs) {
			this.#graceUntilMs = this.options.clock.now() + relapseMs;
		}
	}

	/** Marks a target as draining on another source's word. */
	drain(id: string): void {
		const target = this.#targets.get(id);
		if (target && !target.isDraining) {
			this.#drain(target);
		}
	}

	#drain(target: RelayTarget): void {
		target.isDraining = true;
		this.options.logger.info('A target drains.', {target: target.id, service: target.entry.service});
		this.options.onClosed?.(target);
	}

	#remove(target: RelayTarget, reason: string): void {
		target.isGone = true;
		this.#targets.delete(target.id);
		const {service} = target.entry;
		this.#services.set(service, this.#services.get(service)!.filter(other => other !== target));
		this.options.logger.info('Removed a target.', {target: target.id, service, reason});
		this.options.onClosed?.(target);
	}
}

function isSameIncarnation(a: TargetEntry, b: TargetEntry): boolean {
	return a.address === b.address && a.service === b.service && (a.startedMs === b.startedMs || b.startedMs === undefined);
}
