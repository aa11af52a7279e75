import type {Ms} from '../clock/index.js';
import type {ConfigView, Policy} from '../config/index.js';
import type {Random} from '../random/index.js';
import type {Target} from '../targets/index.js';
import type {PrefixIndex} from './prefix-index.js';
import type {Prefix} from './prefix-names.js';
import {PrefixPlacement, type PlacedPrefix} from './prefix-placement.js';
import type {RouteCandidate, Router, RouteRequest} from './router.js';
import {estimateService} from './service-estimate.js';

/**
 * Worth of one unit of money in ms of latency at equal weights: at 0.1 per GB, the 10 KB of an ordinary call count
 * 40 ms, the time to a region and back. With less, work left the region for small gains where bytes matter most.
 */
const msPerCostUnit = 40_000_000;
const bytesPerGb = 1_000_000_000;
const bytesPerToken = 4;
/** Costs within this part of the service time and these ms count as equal: estimates are no better than that. */
const equalFactor = 0.15;
const equalMs: Ms = 2;
/** Part of a prefix that counts as cached at its home while nothing is known: in half of the cases others sent it there. */
const homeFactor = 0.5;
/** Part of its service time that a call gains from an empty target over a full one. */
const crowdingFactor = 0.25;
/** A target of another zone must be cheaper by this much, since its load is known later. */
const spillMarginMs: Ms = 10;
/** Targets of a zone that are priced for one decision: the gain of more random choices is small, their cost is not. */
const maxPriced = 48;
/** Engines with a long cached prefix that are priced in any case. */
const maxHolders = 16;
/** A suspect target is chosen only when every other one costs more than this. */
const suspectMs: Ms = 5000;

/** `cost` decides between zones; `ranking` adds the crowding of the target and decides within a zone. */
type Priced = {candidate: RouteCandidate; uncached: number; cost: number; ranking: number; timeMs: Ms};

/** What all candidates of one decision have in common. */
type Common = {weights: Policy; bytes: number; placed: PlacedPrefix | undefined};

/** Network path to a region, seen from this entry VM. */
type PathCost = {latencyMs: Ms; costPerGb: number};

/**
 * Chooses by cost: predicted wait, prefill of the uncached part, decoding, and the price of cross-region bytes.
 * Two random choices among targets of nearly equal cost keep entry VMs from choosing the same target on late reports.
 *
 * @example
 * const router = CostRouter.create({config, zone: 'riga-a', random: Random.create(7), index});
 */
export class CostRouter implements Router {
	static create(options: {config: ConfigView; zone: string; random: Random; index: PrefixIndex}): CostRouter {
		const router = new CostRouter(options.config, options.zone, options.random, options.index);
		options.config.onChange(() => {
			router.#paths.clear();
		});
		return router;
	}

	/** Paths by region; the look-up in the declarations is linear. */
	readonly #paths = new Map<string, PathCost>();
	readonly #placement = PrefixPlacement.create();

	private constructor(private readonly config: ConfigView, private readonly zone: string, private readonly random: Random, private readonly index: PrefixIndex) {}

	choose(request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined {
		const isEngine = candidates[0]?.target.pool.type === 'engine';
		const placed = isEngine ? this.#placement.of(request.prefixes, candidates.map(({target}) => target.name)) : undefined;
		const common: Common = {weights: this.config.current().declarations.policy(), bytes: bytesOf(request), placed};
		const {near, far} = this.#divide(request, candidates, common);
		const nearFree = cheapest(near.filter(priced => priced.candidate.isFree));
		const farFree = cheapest(far.filter(priced => priced.candidate.isFree));
		if (farFree && this.#mustSpill(request, nearFree ?? cheapest(near), farFree)) {
			return this.#select(far, placed);
		}

		return this.#select(near, placed);
	}

	/** Prices candidates of this zone and of others; the free ones where there are any, since only they can be chosen. */
	#divide(request: RouteRequest, candidates: readonly RouteCandidate[], common: Common): {near: Priced[]; far: Priced[]} {
		const near: RouteCandidate[] = [];
		const far: RouteCandidate[] = [];
		const full: RouteCandidate[] = [];
		for (const candidate of candidates) {
			const isNear = candidate.target.zone === this.zone;
			if (candidate.isFree) {
				(isNear ? near : far).push(candidate);
			} else if (isNear) {
				full.push(candidate);
			}
		}

		return {near: this.#priceSome(request, near.length > 0 ? near : full, common), far: this.#priceSome(request, far, common)};
	}

	#priceSome(request: RouteRequest, candidates: readonly RouteCandidate[], common: Common): Priced[] {
		if (candidates.length <= maxPriced) {
			return candidates.map(candidate => this.#price(request, candidate, common));
		}

		const chosen = new Set(Array.from({length: maxPriced - maxHolders}, () => this.random.pick(candidates)));
		const holders = this.index.longestHolders(request.work.stage.pool, request.prefixes);
		// Entry VMs that all began with the first holder would crowd it.
		const offset = this.random.integer(0, candidates.length - 1);
		for (let step = 0; holders.size > 0 && step < candidates.length && chosen.size < maxPriced; step++) {
			const candidate = candidates[(offset + step) % candidates.length]!;
			if (holders.has(candidate.target.name)) {
				chosen.add(candidate);
			}
		}

		return [...chosen].map(candidate => this.#price(request, candidate, common));
	}

	#mustSpill(request: RouteRequest, near: Priced | undefined, far: Priced): boolean {
		if (!near) {
			return true;
		}

		const budgetMs = request.work.deadlineMs - request.now - request.laterMs;
		const missesNear = near.timeMs > budgetMs;
		return (missesNear && far.timeMs < near.timeMs) || far.cost + spillMarginMs < near.cost;
	}

	/**
	 * A free candidate of nearly the lowest cost: the one that holds most of the prompt, then the first in the order of its
	 * prefix; the cheaper of two random ones when the prompt shares nothing.
	 */
	#select(priced: readonly Priced[], placed: PlacedPrefix | undefined): Target | undefined {
		const free = priced.filter(({candidate}) => candidate.isFree);
		const best = cheapest(free);
		if (!best) {
			return undefined;
		}

		const bound = best.ranking + equalMs + (Math.abs(best.timeMs) * equalFactor);
		const equal = free.filter(({ranking}) => ranking <= bound);
		if (placed) {
			const rank = ({candidate}: Priced) => placed.rank.get(candidate.target.name)!;
			return equal.toSorted((left, right) => left.uncached - right.uncached || rank(left) - rank(right))[0]!.candidate.target;
		}

		const first = this.random.pick(equal);
		const second = this.random.pick(equal);
		return (second.ranking < first.ranking ? second : first).candidate.target;
	}

	#price(request: RouteRequest, candidate: RouteCandidate, {weights, bytes, placed}: Common): Priced {
		const {work} = request;
		const {target} = candidate;
		const uncached = target.pool.type === 'engine' ? this.#uncachedTokens(target, request.prefixes, placed) : 0;
		const {serviceMs} = estimateService(target.pool, work.stage, {
			uncachedTokens: uncached,
			maxTokens: work.maxTokens,
			batch: candidate.limit,
		});
		const expectedMs = serviceMs * request.correction * candidate.slowdown;
		const queueMs = candidate.isFree ? this.#queueMs(candidate, expectedMs) : request.waitMs;
		const crowdingMs = expectedMs * crowdingFactor * Math.min(1, candidate.calls / candidate.limit);
		const path = this.#path(target.region);
		const timeMs = queueMs + expectedMs + (2 * path.latencyMs);
		const {attainment_weight: timeWeight, cost_weight: costWeight} = weights;
		const money = path.costPerGb * bytes / bytesPerGb;
		const penaltyMs = target.state === 'suspect' ? suspectMs : 0;
		const cost = ((timeMs + penaltyMs) * timeWeight) + (money * msPerCostUnit * costWeight);
		return {
			candidate, uncached, timeMs, cost, ranking: cost + (crowdingMs * timeWeight),
		};
	}

	/** Tokens to prefill. Other entry VMs may have sent a prefix to its home, which this one learns late or never. */
	#uncachedTokens(target: Target, prefixes: readonly Prefix[], placed: PlacedPrefix | undefined): number {
		const uncached = this.index.uncachedTokens(target.name, prefixes);
		if (placed?.rank.get(target.name) !== 0) {
			return uncached;
		}

		let tokens = 0;
		for (const prefix of prefixes) {
			tokens += prefix.tokens;
		}

		const unshared = tokens - placed.tokens;
		return Math.min(uncached, unshared + (Math.max(0, uncached - unshared) * (1 - homeFactor)));
	}

	/** Time in the target's own queue when calls of others already fill it. */
	#queueMs(candidate: RouteCandidate, expectedMs: Ms): Ms {
		return Math.max(0, candidate.calls + 1 - candidate.limit) * expectedMs / candidate.limit;
	}

	#path(region: string): PathCost {
		let path = this.#paths.get(region);
		if (!path) {
			const {declarations} = this.config.current();
			const own = declarations.zone(this.zone)?.region;
			const declared = own === undefined || own === region ? undefined : declarations.path(own, region);
			path = {latencyMs: declared?.latency_ms ?? 0, costPerGb: declared?.cost_per_gb ?? 0};
			this.#paths.set(region, path);
		}

		return path;
	}
}

function bytesOf(request: RouteRequest): number {
	let tokens = request.work.stage.kind === 'generate' ? request.work.maxTokens : 0;
	for (const prefix of request.prefixes) {
		tokens += prefix.tokens;
	}

	return tokens * bytesPerToken;
}

function cheapest(priced: readonly Priced[]): Priced | undefined {
	let best: Priced | undefined;
	for (const other of priced) {
		if (!best || other.ranking < best.ranking) {
			best = other;
		}
	}

	return best;
}
