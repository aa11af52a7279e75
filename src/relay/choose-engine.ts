import type {Ms} from '../clock/index.js';
import type {ZoneTransfer} from '../pools/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {ZoneDistance} from './choose-target.js';
import type {PrefixCacheTracker} from './prefix-cache-tracker.js';
import type {Prompt} from './relay-codec.js';

/** Prefill throughput of an engine, in prompt tokens per ms. */
const prefillTokensPerMs = 50;
/** Delay of the first token for each request that the engine is running. */
const delayPerRunningRequestMs: Ms = 2;
/** Network round-trip time by distance. */
const roundTripMs: Record<ZoneDistance, Ms> = {same_zone: 0, same_region: 3, other_region: 40};
/** Expected delay of a failed request, which has to be sent to another engine. */
const failurePenaltyMs: Ms = 600;
/** Minimum share of the shared prompt tokens that the home engine is assumed to have cached, as other entry VMs send them there too. */
const assumedHomeCacheShare = 0.8;

/** Weights of the cost terms, in units of the value of one plain response; their ratios follow the users' price lists. */
const costs = {
	/** Per ms until the first token. */
	perFirstTokenMs: 0.0008,
	/** Per byte of request or response, by distance. */
	perNetworkByte: {same_zone: 0, same_region: 0.25e-6, other_region: 6e-6} satisfies Record<ZoneDistance, number>,
	/** Per byte of a stage result that crosses zones. */
	perStageResultByte: 0.095e-6,
	/** Per token of a shared part that is prefilled again although another engine has it cached. */
	perRecomputedToken: 0.26e-3,
};
/** Probability that another engine has a shared part cached when the chosen one does not. */
const cachedElsewhereProbability = 0.5;
/** Response bytes per output token. */
const responseBytesPerToken = 15;
/** Total size of the request and response headers. */
const headerBytes = 800;
/** Expected output length as a share of `maxOutputTokens`; most responses end before the limit. */
const typicalOutputShare = 0.5;

/** Request and state on which the choice of an engine depends. */
export interface ChooseEngineOptions {
	readonly now: Ms;
	/** Engines that the request was sent to before. */
	readonly tried: ReadonlySet<RelayTarget>;
	readonly prompt: Prompt;
	readonly bodyBytes: number;
	/** Zones and sizes of the stage results that the engine has to fetch. */
	readonly stageResults: readonly ZoneTransfer[];
	readonly prefixCache: PrefixCacheTracker;
	readonly distance: (zone: string) => ZoneDistance;
	/** Ranks engines for a shared prompt, identically on every entry VM; the first is the home engine of the prompt. */
	readonly rank: (key: string, engines: readonly string[]) => readonly string[];
}

/**
 * Chooses the engine with the lowest expected cost for a request. The cost covers the time to the first token (uncached
 * prompt tokens, pending prefill work, running requests, failure rate and network round trip), repeated prefill of shared
 * prompt parts, and bytes transferred between zones. Each shared prompt has one home engine, so that entry VMs that do
 * not see each other's requests still prefill it on a single engine.
 *
 * @example
 * chooseEngine(registry.acceptingTargets('engines'), {now, tried, prompt, bodyBytes, stageResults, prefixCache, distance, rank});
 */
export function chooseEngine(engines: readonly RelayTarget[], options: ChooseEngineOptions): RelayTarget | undefined {
	const {now, tried, prompt, rank} = options;
	const untried = engines.filter(engine => !tried.has(engine));
	const preferred = untried.filter(engine => !engine.isAvoided(now));
	const candidates = preferred.length > 0 ? preferred : untried;
	const sharedParts = prompt.parts.slice(0, -1);
	const home = rank(sharedParts.map(part => part.id).join('/'), candidates.map(engine => engine.id).toSorted())[0];
	let best: RelayTarget | undefined;
	let lowestCost = Infinity;
	for (const engine of candidates) {
		const cost = expectedCost(engine, engine.id === home, options);
		if (cost < lowestCost) {
			best = engine;
			lowestCost = cost;
		}
	}

	return best;
}

function expectedCost(engine: RelayTarget, isHome: boolean, options: ChooseEngineOptions): number {
	const {now, prompt, bodyBytes, stageResults, prefixCache, distance} = options;
	const {zone} = engine.entry;
	const sharedTokens = prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
	const trackedTokens = prefixCache.cachedTokens(engine.id, prompt.parts, now);
	const cachedTokens = Math.max(trackedTokens, isHome ? assumedHomeCacheShare * sharedTokens : 0);
	const zoneDistance = distance(zone);
	const firstTokenMs = ((prompt.inputTokens - cachedTokens + engine.pendingTokens) / prefillTokensPerMs) + (engine.inFlight * delayPerRunningRequestMs) + roundTripMs[zoneDistance] + (engine.failureRate * failurePenaltyMs);
	const recomputedTokens = isHome ? 0 : Math.max(0, sharedTokens - cachedTokens) * cachedElsewhereProbability;
	const networkBytes = bodyBytes + headerBytes + (prompt.maxOutputTokens * responseBytesPerToken * typicalOutputShare);
	const crossZoneResultBytes = stageResults.reduce((sum, result) => sum + (result.zone === zone ? 0 : result.bytes), 0);
	return (firstTokenMs * costs.perFirstTokenMs) + (recomputedTokens * costs.perRecomputedToken) + (networkBytes * costs.perNetworkByte[zoneDistance]) + (crossZoneResultBytes * costs.perStageResultByte);
}
