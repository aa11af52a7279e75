import type {Ms} from '../clock/index.js';
import {TargetSpeed, type RouteCandidate} from '../routing/index.js';
import type {
	Target, TargetLoad, TargetRegistry, TargetView,
} from '../targets/index.js';
import type {ZoneLoad} from './zone-load.js';

/** A load report older than this says nothing of the present. */
const maxLoadAgeMs: Ms = 3000;
/**
 * Age at which little of a report's difference from the pool's mean counts: about the time of a call, after which other
 * calls are in flight. Otherwise every entry VM sends to the target that was empty when the reports were made.
 */
const forgetMs: Ms = 1000;

/** What is remembered of a target between decisions. */
type Memory = {speed: TargetSpeed; load: TargetLoad | undefined; callsAtLoad: number; callsAtPreviousLoad: number};

/** Summary of a pool's targets that may receive work. */
export interface PoolSummary {
	readonly candidates: readonly RouteCandidate[];
	/** Slots of the targets in this zone, or of all targets when the zone has none. */
	readonly slots: number;
	/** Slots that this entry VM may take now, over all zones. */
	readonly freeSlots: number;
}

/**
 * Combines the targets of a registry with the load that other entry VMs put on them and their measured speed.
 *
 * @example
 * const targets = PoolTargets.create({registry, zone: 'riga-a', zoneLoad});
 * targets.summary('engines', clock.now());
 */
export class PoolTargets {
	static create(options: {registry: TargetRegistry; zone: string; zoneLoad: ZoneLoad}): PoolTargets {
		return new PoolTargets(options.registry, options.zone, options.zoneLoad);
	}

	readonly #memories = new WeakMap<TargetView, Memory>();

	private constructor(private readonly registry: TargetRegistry, private readonly zone: string, private readonly zoneLoad: ZoneLoad) {}

	/**
	 * Targets of a pool that may receive work now. `part` in (0, 1] is the part of each target's slots that this entry
	 * VM may fill: what the others send in the time between two digests is unknown, so they share the slots beforehand.
	 */
	summary(pool: string, {now, part}: {now: Ms; part: number}): PoolSummary {
		const candidates: RouteCandidate[] = [];
		let zoneSlots = 0;
		let allSlots = 0;
		let freeSlots = 0;
		const targets = this.registry.pool(pool).filter(target => target.dispatchable);
		const meanOthers = this.#meanOthers(targets);
		for (const target of targets) {
			const candidate = this.#candidate(target, {now, part, meanOthers});
			candidates.push(candidate);
			allSlots += candidate.limit;
			zoneSlots += target.zone === this.zone ? candidate.limit : 0;
			freeSlots += candidate.isFree ? Math.min(candidate.limit - candidate.calls, ownLimit(candidate.limit, part) - target.inFlight) : 0;
		}

		return {candidates, slots: zoneSlots || allSlots, freeSlots};
	}

	/** Measured speed of a target. */
	speed(target: TargetView): TargetSpeed {
		return this.#memory(target).speed;
	}

	#candidate(target: Target, {now, part, meanOthers}: {now: Ms; part: number; meanOthers: number}): RouteCandidate {
		const memory = this.#memory(target);
		const reported = this.#othersByReport(target, memory);
		const trust = Math.exp(-(target.load?.ageMs ?? 0) / forgetMs);
		const others = meanOthers + ((reported - meanOthers) * trust);
		const calls = target.inFlight + Math.max(this.zoneLoad.calls(target.name), others);
		const {limit} = memory.speed;
		return {
			target, calls, limit, slowdown: memory.speed.slowdown(now), isFree: calls < limit && target.inFlight < ownLimit(limit, part),
		};
	}

	/** Mean calls of others over the pool, per target; it changes less with time than those of one target. */
	#meanOthers(targets: readonly Target[]): number {
		let sum = 0;
		for (const target of targets) {
			sum += this.#othersByReport(target, this.#memory(target));
		}

		return sum / Math.max(1, targets.length);
	}

	/**
	 * Calls of others according to the target's load report. The report is late, so the own calls that it counted may
	 * have ended: the larger of the own counts at the last two reports and now is subtracted.
	 */
	#othersByReport(target: Target, memory: Memory): number {
		const {load} = target;
		if (!load || load.ageMs > maxLoadAgeMs) {
			return 0;
		}

		if (load !== memory.load) {
			memory.callsAtPreviousLoad = memory.callsAtLoad;
			memory.callsAtLoad = target.inFlight;
			memory.load = load;
		}

		return Math.max(0, load.inFlight + load.queued - Math.max(memory.callsAtPreviousLoad, memory.callsAtLoad, target.inFlight));
	}

	#memory(target: TargetView): Memory {
		let memory = this.#memories.get(target);
		if (!memory) {
			memory = {
				speed: TargetSpeed.create(target.declaration.slots), load: undefined, callsAtLoad: 0, callsAtPreviousLoad: 0,
			};
			this.#memories.set(target, memory);
		}

		return memory;
	}
}

/** Slots of a target that an entry VM may fill; at least one, or a small part would never be served. */
function ownLimit(limit: number, part: number): number {
	return Math.max(1, Math.round(limit * part));
}
