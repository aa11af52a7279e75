import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget, TargetRegistry} from '../registry/index.js';
import type {SnapshotOrigin} from '../topics/index.js';
import type {AllowedRegions} from './allowed-regions.js';
import {EvacuationLedger, type EvacuationChange, type EvacuationRecord} from './evacuation-ledger.js';
import {findExclusion, type Exclusion, type PlacedTarget} from './find-exclusion.js';
import {isRegionAllowed} from './is-region-allowed.js';

/** Time for which an evacuation that a copy of the store lacks is held, where the settings name none. */
const defaultHoldMs: Ms = 5000;
/** Exclusions that do not come from the state of the target itself. */
const placementExclusions: ReadonlySet<Exclusion | undefined> = new Set(['region', 'evacuated']);

/** Number of targets of a service that may not take a request, by reason. */
export type ExclusionCounts = Readonly<Partial<Record<Exclusion, number>>>;

/** Dependencies and listeners of a {@link Placement}. */
export interface PlacementOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly targets: Pick<TargetRegistry, 'all' | 'targetsOf'>;
	/** Zone of this entry VM. */
	readonly zone: string;
	readonly regionOf: (zone: string) => string | undefined;
	/** Time for which an evacuation that a copy of the store lacks is held; `undefined` if the settings name none. */
	readonly evacuateMs?: Ms | undefined;
	/** Called with the number of targets that were left out of a choice for a reason. */
	readonly onExcluded?: (reason: Exclusion, count: number) => void;
	/** Called after each start and end of an evacuation. */
	readonly onChange?: (change: EvacuationChange) => void;
}

/**
 * Decides which targets may take a request now, by the regions that its route and team allow and by the zones that are
 * evacuated. It is asked for each attempt, stage call, freed result and probe, and by entry VMs that leave requests to
 * others.
 *
 * @example
 * const targets = placement.candidates('engines', ['latgale']);
 */
export class Placement {
	static create(options: PlacementOptions): Placement {
		return new Placement(options);
	}

	readonly #ledger: EvacuationLedger;
	#cancelExpiry: CancelTimer = () => undefined;

	private constructor(private readonly options: PlacementOptions) {
		this.#ledger = EvacuationLedger.create(options.evacuateMs ?? defaultHoldMs);
	}

	/** Number of evacuated zones. */
	get evacuatedZones(): number {
		return this.#ledger.zones.length;
	}

	/** Whether nothing may be sent to the targets of a zone, probes and calls that free results included. */
	isEvacuated(zone: string): boolean {
		return this.#ledger.isEvacuated(zone);
	}

	/** Returns why a request may not go to a target now; `undefined` if it may. */
	exclusionOf(target: PlacedTarget, regions?: AllowedRegions): Exclusion | undefined {
		const {regionOf} = this.options;
		return findExclusion(target, {regions, regionOf, isEvacuated: zone => this.#ledger.isEvacuated(zone)});
	}

	/** Returns the targets of a service that may take a request now. */
	candidates(service: string, regions?: AllowedRegions): readonly RelayTarget[] {
		const targets = this.options.targets.targetsOf(service);
		// Most requests are not restricted, and are asked for several times.
		const allowed = this.isRestricted(regions) ? targets.filter(target => this.exclusionOf(target, regions) === undefined) : targets.filter(target => target.isAccepting);
		if (allowed.length < targets.length) {
			for (const [reason, count] of Object.entries(this.countExclusions(service, regions))) {
				this.options.onExcluded?.(reason as Exclusion, count);
			}
		}

		return allowed;
	}

	/** Returns the number of targets of a service that may not take a request now, by reason. */
	countExclusions(service: string, regions?: AllowedRegions): ExclusionCounts {
		const counts: Partial<Record<Exclusion, number>> = {};
		for (const target of this.options.targets.targetsOf(service)) {
			const exclusion = this.exclusionOf(target, regions);
			if (exclusion) {
				counts[exclusion] = (counts[exclusion] ?? 0) + 1;
			}
		}

		return counts;
	}

	/**
	 * Whether no target of a service is left for a request because of regions or evacuations: none may take it, and at
	 * least one would otherwise. Targets in `tried` are not left.
	 */
	lacksAllowed(service: string, regions: AllowedRegions, tried: ReadonlySet<RelayTarget>): boolean {
		if (!this.isRestricted(regions)) {
			return false;
		}

		const exclusions = this.options.targets.targetsOf(service).filter(target => !tried.has(target)).map(target => this.exclusionOf(target, regions));
		return exclusions.some(exclusion => placementExclusions.has(exclusion)) && !exclusions.includes(undefined);
	}

	/** Whether regions or evacuations may exclude targets for a request. */
	isRestricted(regions: AllowedRegions): boolean {
		return regions !== undefined || this.#ledger.zones.length > 0;
	}

	/** Returns the region of a zone, if known. */
	regionOf(zone: string): string | undefined {
		return this.options.regionOf(zone);
	}

	/** Whether a request may be served in a zone. */
	allowsZone(zone: string, regions: AllowedRegions): boolean {
		return isRegionAllowed(regions, this.options.regionOf(zone));
	}

	/** Whether the body of a caller's request may be sent to an entry VM in a zone, `undefined` if that is not known: regions that the request allows, and the caller's own. */
	allowsPeer(zone: string | undefined, regions: AllowedRegions): boolean {
		const {regionOf, zone: own} = this.options;
		const region = zone === undefined ? undefined : regionOf(zone);
		return isRegionAllowed(regions, region) || (region !== undefined && region === regionOf(own));
	}

	/** Applies the evacuations of a complete snapshot of the store. */
	applySnapshot(records: readonly EvacuationRecord[], origin: SnapshotOrigin): void {
		const zones = records.flatMap(({zone, isOn}) => isOn ? zone : []);
		this.#announce(this.#ledger.applySnapshot(zones, origin, this.options.clock.now()));
	}

	/** Applies records that follow on what was read before. */
	applyRecords(records: readonly EvacuationRecord[]): void {
		this.#announce(this.#ledger.applyRecords(records, this.options.clock.now()));
	}

	/** Ends the timers. */
	close(): void {
		this.#cancelExpiry();
	}

	#announce(changes: readonly EvacuationChange[]): void {
		for (const change of changes) {
			const {zone, isOn, cause, ageMs} = change;
			const targets = [...this.options.targets.all()].filter(target => target.entry.zone === zone);
			this.options.logger.warn(isOn ? 'The evacuation of a zone has started.' : 'The evacuation of a zone has ended.', {
				zone, cause, age_ms: Math.round(ageMs), targets: targets.length,
			});
			if (isOn) {
				for (const target of targets) {
					target.withdrawUnsent();
				}
			}

			this.options.onChange?.(change);
		}

		this.#scheduleExpiry();
	}

	#scheduleExpiry(): void {
		const {clock} = this.options;
		this.#cancelExpiry();
		const {expiresMs} = this.#ledger;
		if (expiresMs !== Infinity) {
			this.#cancelExpiry = clock.after(Math.max(0, expiresMs - clock.now()), () => {
				this.#announce(this.#ledger.expire(clock.now()));
			});
		}
	}
}
