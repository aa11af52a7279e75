import type {Ms} from '../clock/index.js';
import {TargetSpeed, type RouteCandidate} from '../routing/index.js';
import type {
	Target, TargetLoad, TargetRegistry, TargetView,
} from '../targets/index.js';
import type {ZoneLoad} from './zone-load.js';

/** Load reports older than this are ignored. */
const maxLoadAgeMs: Ms = 3000;
/**
 * Time constant with which a load report's deviation from the pool's mean decays: about the duration of a call, after
 * which other calls are in flight. Without decay, every entry VM sends to the target that was idle in the latest reports.
 */
const reportDecayMs: Ms = 1000;
/**
 * Maximum age of a cached summary. Reported load and health change only when messages arrive, and reading them for every
 * target on each decision is too expensive.
 */
const summaryMaxAgeMs: Ms = 10;

/** Per-target state kept between decisions. */
type TargetState = {speed: TargetSpeed; load: TargetLoad | undefined; reportSeenAt: Ms; ownCallsAtReport: number; ownCallsAtPreviousReport: number};

/**
 * A mutable candidate. External calls, those of other entry VMs, are stored separately, so that this entry VM's own calls
 * can be updated alone.
 */
type CandidateEntry = {-readonly [key in keyof RouteCandidate]: RouteCandidate[key]} & {externalCalls: number; freeSlots: number};

type CachedSummary = {candidates: CandidateEntry[]; slots: number; freeSlots: number; slotFraction: number; builtAt: Ms; byName: Map<string, CandidateEntry>};

/** Summary of a pool's targets that may receive work. Slots are counted by each target's current concurrency limit. */
export interface PoolSummary {
	readonly candidates: readonly RouteCandidate[];
	/** Number of slots of the targets in this zone, or of all targets when the zone has none. */
	readonly slots: number;
	/** Number of slots in all zones that this entry VM may take now. */
	readonly freeSlots: number;
}

/**
 * Combines the targets of a registry with their measured speed and the load from other entry VMs.
 *
 * @example
 * const targets = PoolTargets.create({registry, zone: 'riga-a', zoneLoad});
 * targets.summary('engines', {now: clock.now(), slotFraction: 1});
 */
export class PoolTargets {
	static create(options: {registry: TargetRegistry; zone: string; zoneLoad: ZoneLoad}): PoolTargets {
		return new PoolTargets(options.registry, options.zone, options.zoneLoad);
	}

	readonly #targetStates = new WeakMap<TargetView, TargetState>();
	readonly #summaries = new Map<string, CachedSummary>();

	private constructor(private readonly registry: TargetRegistry, private readonly zone: string, private readonly zoneLoad: ZoneLoad) {}

	/**
	 * Targets of a pool that may receive work. `slotFraction` in (0, 1] limits the fraction of each target's slots that
	 * this entry VM may fill: the calls that other entry VMs send between two digests are unknown, so the slots are divided
	 * in advance. This entry VM's own calls are exact. Everything else is up to 10 ms old, so the caller must check that a
	 * chosen target is still `dispatchable`.
	 */
	summary(pool: string, {now, slotFraction}: {now: Ms; slotFraction: number}): PoolSummary {
		const cached = this.#summaries.get(pool);
		if (cached?.slotFraction === slotFraction && now - cached.builtAt < summaryMaxAgeMs) {
			return cached;
		}

		const summary = this.#build(pool, {now, slotFraction});
		this.#summaries.set(pool, summary);
		return summary;
	}

	/** Applies a change of this entry VM's calls at a target, or of the target's measured speed, to the cached summary. */
	update(target: TargetView, now: Ms): void {
		const summary = this.#summaries.get(target.pool.name);
		const entry = summary?.byName.get(target.name);
		if (summary && entry) {
			summary.freeSlots -= entry.freeSlots;
			this.#updateEntry(entry, {now, slotFraction: summary.slotFraction});
			summary.freeSlots += entry.freeSlots;
		}
	}

	/** Discards the cached summary of a pool. */
	invalidate(pool: string): void {
		this.#summaries.delete(pool);
	}

	/** Measured speed of a target. */
	speed(target: TargetView): TargetSpeed {
		return this.#targetState(target).speed;
	}

	#build(pool: string, {now, slotFraction}: {now: Ms; slotFraction: number}): CachedSummary {
		const summary: CachedSummary = {
			candidates: [], slots: 0, freeSlots: 0, slotFraction, builtAt: now, byName: new Map(),
		};
		let zoneSlots = 0;
		const targets = this.registry.pool(pool).filter(target => target.dispatchable);
		const meanExternalCalls = this.#meanExternalCalls(targets, now);
		for (const target of targets) {
			const entry: CandidateEntry = {
				target, externalCalls: Math.max(this.zoneLoad.calls(target.name), this.#externalCalls(target, now, meanExternalCalls)), calls: 0, limit: 0, slowdown: 1, isFree: false, freeSlots: 0,
			};
			this.#updateEntry(entry, {now, slotFraction});
			summary.candidates.push(entry);
			summary.byName.set(target.name, entry);
			summary.slots += entry.limit;
			summary.freeSlots += entry.freeSlots;
			zoneSlots += target.zone === this.zone ? entry.limit : 0;
		}

		summary.slots = zoneSlots || summary.slots;
		return summary;
	}

	#updateEntry(entry: CandidateEntry, {now, slotFraction}: {now: Ms; slotFraction: number}): void {
		const {speed} = this.#targetState(entry.target);
		entry.limit = speed.limit;
		entry.slowdown = speed.slowdown(now);
		entry.calls = entry.target.inFlight + entry.externalCalls;
		entry.freeSlots = freeSlots(entry, slotFraction);
		entry.isFree = entry.freeSlots > 0;
	}

	/** Mean number of external calls per target of the pool; it varies less over time than the number at one target. */
	#meanExternalCalls(targets: readonly Target[], now: Ms): number {
		let sum = 0;
		for (const target of targets) {
			sum += this.#reportedExternalCalls(target, now);
		}

		return sum / Math.max(1, targets.length);
	}

	/** Estimated external calls at a target: the older its report, the closer the estimate is to the mean. */
	#externalCalls(target: Target, now: Ms, meanExternalCalls: number): number {
		const reportWeight = Math.exp(-(target.load?.ageMs ?? 0) / reportDecayMs);
		return meanExternalCalls + ((this.#reportedExternalCalls(target, now) - meanExternalCalls) * reportWeight);
	}

	/**
	 * Calls of other entry VMs according to the target's load report. The report is delayed, so calls of this entry VM that
	 * it includes may have ended; the largest of the own call counts at the last two reports and now is subtracted.
	 */
	#reportedExternalCalls(target: Target, now: Ms): number {
		const {load} = target;
		if (!load) {
			return 0;
		}

		const state = this.#targetState(target);
		if (load !== state.load) {
			state.ownCallsAtPreviousReport = state.ownCallsAtReport;
			state.ownCallsAtReport = target.inFlight;
			state.load = load;
			state.reportSeenAt = now;
		}

		// Without expiry, a target whose reports stop would stay full indefinitely.
		return now - state.reportSeenAt + load.ageMs > maxLoadAgeMs
			? 0
			: Math.max(0, load.inFlight + load.queued - Math.max(state.ownCallsAtPreviousReport, state.ownCallsAtReport, target.inFlight));
	}

	#targetState(target: TargetView): TargetState {
		let state = this.#targetStates.get(target);
		if (!state) {
			state = {
				speed: TargetSpeed.create(target.declaration.slots), load: undefined, reportSeenAt: 0, ownCallsAtReport: 0, ownCallsAtPreviousReport: 0,
			};
			this.#targetStates.set(target, state);
		}

		return state;
	}
}

/**
 * Number of slots of a target that this entry VM may take now. Its part of the slots is at least one, since a small
 * fraction would round to zero and its calls would never be served.
 */
function freeSlots({limit, calls, target}: CandidateEntry, slotFraction: number): number {
	return Math.max(0, Math.min(limit - calls, Math.max(1, Math.round(limit * slotFraction)) - target.inFlight));
}
