import type {Ms} from '../clock/index.js';
import type {ConfigView, Policy} from '../config/index.js';
import type {Random} from '../random/index.js';
import type {Target} from '../targets/index.js';
import type {PrefixIndex} from './prefix-index.js';
import type {Prefix} from './prefix-hasher.js';
import {PrefixPlacement, type PrefixRanking} from './prefix-placement.js';
import type {RouteCandidate, Router, RouteRequest} from './router.js';
import {estimateServiceTime} from './service-time-estimate.js';

/**
 * Milliseconds of latency equivalent to one unit of network cost at equal weights. At a price of 0.1 per GB, the 10 KB of
 * a typical call count as 40 ms, which is the round trip to another region. Smaller values moved work out of the region
 * for small gains in deployments where traffic is the main cost.
 */
const msPerCostUnit = 40_000_000;
const bytesPerGb = 1_000_000_000;
const bytesPerToken = 4;
/**
 * Costs that differ by less than `equalCostFraction` of the predicted time plus `equalCostMs` count as equal, because
 * estimates are no more accurate than that.
 */
const equalCostFraction = 0.15;
const equalCostMs: Ms = 2;
/** Fraction of a prefix assumed to be cached by its preferred engine: in half of the cases another entry VM sent it there. */
const assumedCachedFraction = 0.5;
/** Fraction of its service time that a call saves on an idle target compared with a fully loaded one. */
const loadPenaltyFactor = 0.25;
/** Cost by which a target of another zone must be cheaper, because load reports from other zones arrive later. */
const spilloverMarginMs: Ms = 10;
/**
 * Maximum number of candidates evaluated per decision, for the local zone and for the other zones each: evaluating more
 * random candidates costs time and improves the choice little.
 */
const maxEvaluatedCandidates = 48;
/** Part of `maxEvaluatedCandidates` that is reserved for engines that have cached the longest prefix. */
const reservedForPrefixHolders = 16;
/** Cost added to a suspect target, so that it is chosen only when every other target is much more expensive. */
const suspectPenaltyMs: Ms = 5000;

/** `cost` is compared between zones; `rankingCost` adds a penalty for the target's load and is compared within a zone. */
type EvaluatedCandidate = {candidate: RouteCandidate; prefillTokens: number; cost: number; rankingCost: number; timeMs: Ms};

/** Inputs shared by all candidates of one decision. */
type DecisionContext = {weights: Policy; bytes: number; prefixRanking: PrefixRanking | undefined};

/** Network path from this entry VM to a region. */
type NetworkPath = {latencyMs: Ms; costPerGb: number};

/**
 * Chooses the target with the lowest cost: predicted wait, prefill of uncached tokens, decoding and the price of
 * cross-region traffic. Among targets of nearly equal cost, a prompt with a shared prefix goes to the engine that is most
 * likely to have cached it. Other calls go to the better of two random targets (power of two choices), so that entry VMs
 * do not all choose the same target from the same outdated load report.
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

	/** Cache of paths by region, because the look-up in the declarations is linear. */
	readonly #paths = new Map<string, NetworkPath>();
	readonly #placement = PrefixPlacement.create();

	private constructor(private readonly config: ConfigView, private readonly zone: string, private readonly random: Random, private readonly index: PrefixIndex) {}

	choose(request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined {
		const isEngine = candidates[0]?.target.pool.type === 'engine';
		const prefixRanking = isEngine ? this.#placement.rank(request.prefixes, candidates.map(({target}) => target.name)) : undefined;
		const context: DecisionContext = {weights: this.config.current().declarations.policy(), bytes: estimateBytes(request), prefixRanking};
		const {local, remote} = this.#evaluateByZone(request, candidates, context);
		const localFree = cheapest(local.filter(evaluated => evaluated.candidate.isFree));
		const remoteFree = cheapest(remote.filter(evaluated => evaluated.candidate.isFree));
		if (remoteFree && this.#shouldSpillOver(request, localFree ?? cheapest(local), remoteFree)) {
			return this.#select(remote, prefixRanking);
		}

		return this.#select(local, prefixRanking);
	}

	/**
	 * Evaluates the free candidates of this zone and of other zones. When this zone has no free candidate, its busy ones
	 * are evaluated instead, to compare the wait for them with the free ones of other zones.
	 */
	#evaluateByZone(request: RouteRequest, candidates: readonly RouteCandidate[], context: DecisionContext): {local: EvaluatedCandidate[]; remote: EvaluatedCandidate[]} {
		const local: RouteCandidate[] = [];
		const remote: RouteCandidate[] = [];
		const localBusy: RouteCandidate[] = [];
		for (const candidate of candidates) {
			const isLocal = candidate.target.zone === this.zone;
			if (candidate.isFree) {
				(isLocal ? local : remote).push(candidate);
			} else if (isLocal) {
				localBusy.push(candidate);
			}
		}

		return {local: this.#evaluateSample(request, local.length > 0 ? local : localBusy, context), remote: this.#evaluateSample(request, remote, context)};
	}

	/** Evaluates all candidates, or a random sample and the engines with the longest cached prefix when there are many. */
	#evaluateSample(request: RouteRequest, candidates: readonly RouteCandidate[], context: DecisionContext): EvaluatedCandidate[] {
		if (candidates.length <= maxEvaluatedCandidates) {
			return candidates.map(candidate => this.#evaluate(request, candidate, context));
		}

		const sample = new Set(Array.from({length: maxEvaluatedCandidates - reservedForPrefixHolders}, () => this.random.pick(candidates)));
		const prefixHolders = this.index.enginesWithLongestPrefix(request.work.stage.pool, request.prefixes);
		// A random start keeps entry VMs from overloading the first engine in the list.
		const start = this.random.integer(0, candidates.length - 1);
		for (let offset = 0; prefixHolders.size > 0 && offset < candidates.length && sample.size < maxEvaluatedCandidates; offset++) {
			const candidate = candidates[(start + offset) % candidates.length]!;
			if (prefixHolders.has(candidate.target.name)) {
				sample.add(candidate);
			}
		}

		return [...sample].map(candidate => this.#evaluate(request, candidate, context));
	}

	/**
	 * Whether to use another zone: no local target exists, the local one misses the deadline and the remote one is faster, or
	 * the remote one is cheaper by more than the margin.
	 */
	#shouldSpillOver(request: RouteRequest, local: EvaluatedCandidate | undefined, remote: EvaluatedCandidate): boolean {
		if (!local) {
			return true;
		}

		const budgetMs = request.work.deadlineMs - request.now - request.laterStagesMs;
		const localMissesDeadline = local.timeMs > budgetMs;
		return (localMissesDeadline && remote.timeMs < local.timeMs) || remote.cost + spilloverMarginMs < local.cost;
	}

	/**
	 * Selects among the free candidates of nearly the lowest cost: the one with the fewest tokens to prefill, then the one
	 * with the best prefix rank. Without a shared prefix, selects the cheaper of two random ones.
	 */
	#select(evaluated: readonly EvaluatedCandidate[], prefixRanking: PrefixRanking | undefined): Target | undefined {
		const free = evaluated.filter(({candidate}) => candidate.isFree);
		const best = cheapest(free);
		if (!best) {
			return undefined;
		}

		const maxRankingCost = best.rankingCost + equalCostMs + (Math.abs(best.timeMs) * equalCostFraction);
		const equallyCheap = free.filter(({rankingCost}) => rankingCost <= maxRankingCost);
		if (prefixRanking) {
			const rank = ({candidate}: EvaluatedCandidate) => prefixRanking.rank.get(candidate.target.name)!;
			return equallyCheap.toSorted((left, right) => left.prefillTokens - right.prefillTokens || rank(left) - rank(right))[0]!.candidate.target;
		}

		const first = this.random.pick(equallyCheap);
		const second = this.random.pick(equallyCheap);
		return (second.rankingCost < first.rankingCost ? second : first).candidate.target;
	}

	#evaluate(request: RouteRequest, candidate: RouteCandidate, {weights, bytes, prefixRanking}: DecisionContext): EvaluatedCandidate {
		const {work} = request;
		const {target} = candidate;
		const prefillTokens = target.pool.type === 'engine' ? this.#prefillTokens(target, request.prefixes, prefixRanking) : 0;
		const {serviceMs} = estimateServiceTime(target.pool, work.stage, {
			uncachedTokens: prefillTokens,
			maxTokens: work.maxTokens,
			batch: candidate.limit,
		});
		const expectedMs = serviceMs * request.serviceTimeCorrection * candidate.slowdown;
		const queueMs = candidate.isFree ? this.#queueMs(candidate, expectedMs) : request.predictedWaitMs;
		const loadPenaltyMs = expectedMs * loadPenaltyFactor * Math.min(1, candidate.calls / candidate.limit);
		const path = this.#path(target.region);
		const timeMs = queueMs + expectedMs + (2 * path.latencyMs);
		const {attainment_weight: timeWeight, cost_weight: costWeight} = weights;
		const networkCost = path.costPerGb * bytes / bytesPerGb;
		const penaltyMs = target.state === 'suspect' ? suspectPenaltyMs : 0;
		const cost = ((timeMs + penaltyMs) * timeWeight) + (networkCost * msPerCostUnit * costWeight);
		return {
			candidate, prefillTokens, timeMs, cost, rankingCost: cost + (loadPenaltyMs * timeWeight),
		};
	}

	/**
	 * Expected number of tokens to prefill. Part of a shared prefix counts as cached by its preferred engine, because other
	 * entry VMs may have sent it there and this one is informed late or not at all.
	 */
	#prefillTokens(target: Target, prefixes: readonly Prefix[], prefixRanking: PrefixRanking | undefined): number {
		const uncachedTokens = this.index.uncachedTokens(target.name, prefixes);
		if (prefixRanking?.rank.get(target.name) !== 0) {
			return uncachedTokens;
		}

		let tokens = 0;
		for (const prefix of prefixes) {
			tokens += prefix.tokens;
		}

		const unsharedTokens = tokens - prefixRanking.sharedTokens;
		return Math.min(uncachedTokens, unsharedTokens + (Math.max(0, uncachedTokens - unsharedTokens) * (1 - assumedCachedFraction)));
	}

	/** Expected time in the target's own queue when calls of other entry VMs exceed its limit. */
	#queueMs(candidate: RouteCandidate, expectedMs: Ms): Ms {
		return Math.max(0, candidate.calls + 1 - candidate.limit) * expectedMs / candidate.limit;
	}

	#path(region: string): NetworkPath {
		let path = this.#paths.get(region);
		if (!path) {
			const {declarations} = this.config.current();
			const ownRegion = declarations.zone(this.zone)?.region;
			const declared = ownRegion === undefined || ownRegion === region ? undefined : declarations.path(ownRegion, region);
			path = {latencyMs: declared?.latency_ms ?? 0, costPerGb: declared?.cost_per_gb ?? 0};
			this.#paths.set(region, path);
		}

		return path;
	}
}

/** Estimated size of a request and its answer. */
function estimateBytes(request: RouteRequest): number {
	let tokens = request.work.stage.kind === 'generate' ? request.work.maxTokens : 0;
	for (const prefix of request.prefixes) {
		tokens += prefix.tokens;
	}

	return tokens * bytesPerToken;
}

/** Returns the candidate with the lowest ranking cost. */
function cheapest(evaluated: readonly EvaluatedCandidate[]): EvaluatedCandidate | undefined {
	let best: EvaluatedCandidate | undefined;
	for (const candidate of evaluated) {
		if (!best || candidate.rankingCost < best.rankingCost) {
			best = candidate;
		}
	}

	return best;
}
