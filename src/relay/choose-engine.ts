import type {Ms} from '../clock/index.js';
import type {ZoneTransfer} from '../pools/index.js';
import {
	pickNearlyBest, type EngineOutlook, type EngineSide, type PromptLoads,
} from '../prompts/index.js';
import type {Random} from '../random/index.js';
import {ListMemo, type RelayTarget} from '../registry/index.js';
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
/** Difference in the time to the first token up to which engines are nearly equal: that of two running requests. */
const nearlyEqualMs: Ms = 4;
/**
 * The same as a share of the prefill time where long and short prompts are divided: the speeds of engines are not known
 * better. With 4 ms, very long prompts that arrive at several entry VMs at once go to the same idle engine.
 */
const nearlyEqualShare = 0.35;
/** Tokens to be prefilled up to which an engine is idle. */
const idleTokens = 200;
/**
 * Expected delay of prompts by one at an engine that is kept for the other kind, while it is idle and while it is not. A
 * long prompt also delays the short ones that come before its work is known elsewhere, by about the time of its prefill:
 * without that, the 99th percentile of short prompts in the burst of long-prompts.test.ts is 1,329 in place of 345 ms.
 */
const otherSideMs = {short: {idle: 20, busy: 40}, long: {idle: 0, busy: 50}} as const;
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
/** Sorted ids of the engines of the last choices. */
const sortedIds = ListMemo.create((engines: readonly RelayTarget[]): readonly string[] => engines.map(engine => engine.id).toSorted());
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
	/** What is known of the prompt work at the engines; without it, only the pending prompts of this entry VM count. */
	readonly loads?: Pick<PromptLoads, 'outlook' | 'side'> | undefined;
	/** Spreads prompts over nearly equal engines; needed with `loads`. */
	readonly random?: Pick<Random, 'integer'>;
	/** Called with the choice and its reasons. */
	readonly onChoice?: (choice: EngineChoice) => void;
}

/** An engine that was chosen for a prompt, and why. */
export interface EngineChoice {
	readonly engine: RelayTarget;
	/** Expected cost, in units of the value of one plain response. */
	readonly cost: number;
	/** Prompt tokens that the engine has probably not cached. */
	readonly uncachedTokens: number;
	/** Expected time to the first token. */
	readonly firstTokenMs: Ms;
	/** Time that the network takes to the engine and back. */
	readonly roundTripMs: Ms;
	/** Whether the engine is the home of the shared parts of the prompt. */
	readonly isHome: boolean;
	/** Whether the prompt is long or short beside others, and whether the engine is kept for the other kind; `undefined` where prompts are not divided. */
	readonly side: {readonly kind: EngineSide['kind']; readonly isSpilled: boolean} | undefined;
	/** What was known of the engine; `undefined` if only own prompts count. */
	readonly outlook: EngineOutlook | undefined;
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
	const {now, tried, prompt, rank, loads, random, onChoice} = options;
	const untried = tried.size === 0 ? engines : engines.filter(engine => !tried.has(engine));
	const preferred = untried.filter(engine => !engine.isAvoided(now));
	const candidates = preferred.length > 0 ? preferred : untried;
	const sharedParts = prompt.parts.slice(0, -1);
	const sharedTokens = sharedParts.reduce((sum, part) => sum + part.tokens, 0);
	const trackedTokens = candidates.map(engine => options.prefixCache.cachedTokens(engine.id, prompt.parts, now));
	const uncachedTokens = leastUncachedTokens(prompt, sharedTokens, trackedTokens);
	const side = loads?.side(engines, uncachedTokens);
	const ranked = rank(sharedParts.map(part => part.id).join('/'), sortedIds.of(candidates));
	const home = (side && ranked.find(id => side.prefers(id))) ?? ranked[0];
	const choices = candidates.map((engine, index) => judgeEngine(engine, {
		isHome: engine.id === home, side, sharedTokens, trackedTokens: trackedTokens[index]!,
	}, options));
	const toleranceMs = side ? Math.max(nearlyEqualMs, nearlyEqualShare * uncachedTokens / prefillTokensPerMs) : nearlyEqualMs;
	const choice = loads && random ? pickNearlyBest(choices, {tolerance: toleranceMs * costs.perFirstTokenMs, random}) : findCheapest(choices);
	if (choice) {
		onChoice?.(choice);
	}

	return choice?.engine;
}

function findCheapest(choices: readonly EngineChoice[]): EngineChoice | undefined {
	let best: EngineChoice | undefined;
	for (const choice of choices) {
		if (!best || choice.cost < best.cost) {
			best = choice;
		}
	}

	return best;
}

/** Returns the tokens of a prompt that are not cached at the engine that has most of them, the home engine included. */
function leastUncachedTokens(prompt: Prompt, sharedTokens: number, trackedTokens: Iterable<number>): number {
	return withoutCached(prompt, Math.max(assumedHomeCacheShare * sharedTokens, ...trackedTokens));
}

/** Returns the tokens of a prompt that are not cached; callers may name parts with more tokens than the prompt has. */
function withoutCached({inputTokens}: Prompt, cachedTokens: number): number {
	return Math.max(0, inputTokens - cachedTokens);
}

type EngineState = {readonly isHome: boolean; readonly side: EngineSide | undefined; readonly sharedTokens: number; readonly trackedTokens: number};

function judgeEngine(engine: RelayTarget, {isHome, side, sharedTokens, trackedTokens}: EngineState, options: ChooseEngineOptions): EngineChoice {
	const {prompt, bodyBytes, stageResults, distance, loads} = options;
	const {zone} = engine.entry;
	const cachedTokens = Math.max(trackedTokens, isHome ? assumedHomeCacheShare * sharedTokens : 0);
	const uncachedTokens = withoutCached(prompt, cachedTokens);
	const outlook = loads?.outlook(engine);
	const {aheadTokens, slowness} = outlook ?? {aheadTokens: engine.pendingTokens, slowness: 1};
	const zoneDistance = distance(zone);
	const workMs = ((uncachedTokens + aheadTokens) / prefillTokensPerMs) + (engine.inFlight * delayPerRunningRequestMs);
	const firstTokenMs = (workMs * slowness) + roundTripMs[zoneDistance] + (engine.failureRate * failurePenaltyMs);
	const isSpilled = side !== undefined && !side.prefers(engine.id);
	// Another region takes the prompt no sooner than it would without the division.
	const spillMs = side && (isSpilled || zoneDistance === 'other_region') ? otherSideMs[side.kind][aheadTokens <= idleTokens ? 'idle' : 'busy'] + (side.kind === 'long' ? uncachedTokens / prefillTokensPerMs : 0) : 0;
	const recomputedTokens = isHome ? 0 : Math.max(0, sharedTokens - cachedTokens) * cachedElsewhereProbability;
	const networkBytes = bodyBytes + headerBytes + (prompt.maxOutputTokens * responseBytesPerToken * typicalOutputShare);
	const crossZoneResultBytes = stageResults.reduce((sum, result) => sum + (result.zone === zone ? 0 : result.bytes), 0);
	const cost = ((firstTokenMs + spillMs) * costs.perFirstTokenMs) + (recomputedTokens * costs.perRecomputedToken) + (networkBytes * costs.perNetworkByte[zoneDistance]) + (crossZoneResultBytes * costs.perStageResultByte);
	return {
		engine, cost, uncachedTokens, firstTokenMs, roundTripMs: roundTripMs[zoneDistance], isHome, outlook, side: side && {kind: side.kind, isSpilled},
	};
}
