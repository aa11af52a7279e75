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
/** Loads of others and health change by messages; reading those of every target for each decision costs too much. */
const refreshMs: Ms = 10;

/** What is remembered of a target between decisions. */
type Memory = {speed: TargetSpeed; load: TargetLoad | undefined; loadSeenAt: Ms; callsAtLoad: number; callsAtPreviousLoad: number};

/** A candidate with the calls of others, so that own calls can be brought up to date alone. */
type Entry = {-readonly [key in keyof RouteCandidate]: RouteCandidate[key]} & {others: number; freeSlots: number};

type Summary = {candidates: Entry[]; slots: number; freeSlots: number; part: number; builtAt: Ms; byName: Map<string, Entry>};

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
 * targets.summary('engines', {now: clock.now(), part: 1});
 */
export class PoolTargets {
	static create(options: {registry: TargetRegistry; zone: string; zoneLoad: ZoneLoad}): PoolTargets {
		return new PoolTargets(options.registry, options.zone, options.zoneLoad);
	}

	readonly #memories = new WeakMap<TargetView, Memory>();
	readonly #summaries = new Map<string, Summary>();

	private constructor(private readonly registry: TargetRegistry, private readonly zone: string, private readonly zoneLoad: ZoneLoad) {}

	/**
	 * Targets of a pool that may receive work. `part` in (0, 1] is the part of each target's slots that this entry VM may
	 * fill: what the others send in the time between two digests is unknown, so they share the slots beforehand.
	 * Own calls are exact. The rest is up to 10 ms old, so a chosen target must still be checked for `dispatchable`.
	 */
	summary(pool: string, {now, part}: {now: Ms; part: number}): PoolSummary {
		const known = this.#summaries.get(pool);
		if (known?.part === part && now - known.builtAt < refreshMs) {
			return known;
		}

		const summary = this.#build(pool, {now, part});
		this.#summaries.set(pool, summary);
		return summary;
	}

	/** Takes the changed own calls and speed of a target. */
	changed(target: TargetView, now: Ms): void {
		const summary = this.#summaries.get(target.pool.name);
		const entry = summary?.byName.get(target.name);
		if (summary && entry) {
			summary.freeSlots -= entry.freeSlots;
			this.#update(entry, {now, part: summary.part});
			summary.freeSlots += entry.freeSlots;
		}
	}

	/** Forgets what is known of a pool's targets, so that the next summary is fresh. */
	expire(pool: string): void {
		this.#summaries.delete(pool);
	}

	/** Measured speed of a target. */
	speed(target: TargetView): TargetSpeed {
		return this.#memory(target).speed;
	}

	#build(pool: string, {now, part}: {now: Ms; part: number}): Summary {
		const summary: Summary = {
			candidates: [], slots: 0, freeSlots: 0, part, builtAt: now, byName: new Map(),
		};
		let zoneSlots = 0;
		const targets = this.registry.pool(pool).filter(target => target.dispatchable);
		const meanOthers = this.#meanOthers(targets, now);
		for (const target of targets) {
			const entry: Entry = {
				target, others: Math.max(this.zoneLoad.calls(target.name), this.#others(target, now, meanOthers)), calls: 0, limit: 0, slowdown: 1, isFree: false, freeSlots: 0,
			};
			this.#update(entry, {now, part});
			summary.candidates.push(entry);
			summary.byName.set(target.name, entry);
			summary.slots += entry.limit;
			summary.freeSlots += entry.freeSlots;
			zoneSlots += target.zone === this.zone ? entry.limit : 0;
		}

		summary.slots = zoneSlots || summary.slots;
		return summary;
	}

	#update(entry: Entry, {now, part}: {now: Ms; part: number}): void {
		const {speed} = this.#memory(entry.target);
		entry.limit = speed.limit;
		entry.slowdown = speed.slowdown(now);
		entry.calls = entry.target.inFlight + entry.others;
		entry.freeSlots = freeSlots(entry, part);
		entry.isFree = entry.freeSlots > 0;
	}

	/** Mean calls of others over the pool, per target; it changes less with time than those of one target. */
	#meanOthers(targets: readonly Target[], now: Ms): number {
		let sum = 0;
		for (const target of targets) {
			sum += this.#othersByReport(target, now);
		}

		return sum / Math.max(1, targets.length);
	}

	/** Calls of others at a target: the older its report, the closer to the mean. */
	#others(target: Target, now: Ms, meanOthers: number): number {
		const trust = Math.exp(-(target.load?.ageMs ?? 0) / forgetMs);
		return meanOthers + ((this.#othersByReport(target, now) - meanOthers) * trust);
	}

	/**
	 * Calls of others according to the target's load report. The report is late, so the own calls that it counted may
	 * have ended: the larger of the own counts at the last two reports and now is subtracted.
	 */
	#othersByReport(target: Target, now: Ms): number {
		const {load} = target;
		if (!load) {
			return 0;
		}

		const memory = this.#memory(target);
		if (load !== memory.load) {
			memory.callsAtPreviousLoad = memory.callsAtLoad;
			memory.callsAtLoad = target.inFlight;
			memory.load = load;
			memory.loadSeenAt = now;
		}

		// A report that is not renewed would keep a target full for ever.
		return now - memory.loadSeenAt + load.ageMs > maxLoadAgeMs
			? 0
			: Math.max(0, load.inFlight + load.queued - Math.max(memory.callsAtPreviousLoad, memory.callsAtLoad, target.inFlight));
	}

	#memory(target: TargetView): Memory {
		let memory = this.#memories.get(target);
		if (!memory) {
			memory = {
				speed: TargetSpeed.create(target.declaration.slots), load: undefined, loadSeenAt: 0, callsAtLoad: 0, callsAtPreviousLoad: 0,
			};
			this.#memories.set(target, memory);
		}

		return memory;
	}
}

/**
 * Slots of a target that this entry VM may take now. It may fill one slot of a target at least, or a small part would
 * never be served.
 */
function freeSlots({limit, calls, target}: Entry, part: number): number {
	return Math.max(0, Math.min(limit - calls, Math.max(1, Math.round(limit * part)) - target.inFlight));
}
