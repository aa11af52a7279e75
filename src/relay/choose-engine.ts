import type {Ms} from '../clock/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {PromptMemory} from './prompt-memory.js';
import type {Prompt} from './relay-codec.js';
import type {ZoneDistance} from './choose-target.js';

/** Prompt tokens that an engine reads in a ms; measured on the users' engines. */
const prefillTokensPerMs = 50;
/** Slow-down of the decoding of everyone by one more running request, over a typical answer. */
const runningMs: Ms = 2;
/** Cost of another zone in ms: the way, and bytes that are billed. */
const zoneCostMs: Record<ZoneDistance, Ms> = {same_zone: 0, same_region: 60, other_region: 250};
const failureMs: Ms = 600;
/** Part of a shared prompt that its home engine is expected to hold, where nothing is known from here. */
const homeShare = 0.8;

/** What is known of the request. */
export interface ChooseEngineOptions {
	readonly now: Ms;
	readonly tried: ReadonlySet<RelayTarget>;
	readonly prompt: Prompt;
	readonly memory: PromptMemory;
	readonly distance: (zone: string) => ZoneDistance;
	/** Orders engines for a shared prompt, the same at every entry VM; the first is its home. */
	readonly rank: (key: string, engines: readonly string[]) => readonly string[];
}

/**
 * Chooses the engine of a request: the least expected time to its first token, from prompt tokens that it does not
 * hold, prompts sent to it that it has not started to answer, running requests, failures and distance.
 *
 * @example
 * chooseEngine(registry.open('engines'), {now, tried, prompt, memory, distance, rank});
 */
export function chooseEngine(engines: readonly RelayTarget[], options: ChooseEngineOptions): RelayTarget | undefined {
	const {now, tried, prompt, memory, distance, rank} = options;
	const untried = engines.filter(engine => !tried.has(engine));
	const reachable = untried.filter(engine => !engine.isAvoided(now));
	const candidates = reachable.length > 0 ? reachable : untried;
	const shared = prompt.parts.slice(0, -1);
	const sharedTokens = shared.reduce((sum, part) => sum + part.tokens, 0);
	const key = shared.map(part => part.id).join('/');
	const homes = homesByZone(candidates, key, rank);
	let best: RelayTarget | undefined;
	let bestCost = Infinity;
	for (const engine of candidates) {
		const known = memory.heldTokens(engine.id, prompt.parts, now);
		const held = Math.max(known, homes.has(engine.id) ? homeShare * sharedTokens : 0);
		const cost = ((prompt.inputTokens - held + engine.pendingTokens) / prefillTokensPerMs)
			+ (engine.inFlight * runningMs) + zoneCostMs[distance(engine.entry.zone)] + (engine.failureRate * failureMs);
		if (cost < bestCost) {
			best = engine;
			bestCost = cost;
		}
	}

	return best;
}

function homesByZone(engines: readonly RelayTarget[], key: string, rank: ChooseEngineOptions['rank']): ReadonlySet<string> {
	const zones = new Map<string, string[]>();
	for (const {id, entry} of engines) {
		zones.set(entry.zone, [...zones.get(entry.zone) ?? [], id]);
	}

	return new Set([...zones.values()].map(ids => rank(key, ids)[0]!));
}
