import type {Ms} from '../clock/index.js';
import type {ZoneTransfer} from '../pools/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {ZoneDistance} from './choose-target.js';
import type {PromptMemory} from './prompt-memory.js';
import type {Prompt} from './relay-codec.js';

/** Prompt tokens that an engine reads in a ms; measured on the users' engines. */
const prefillTokensPerMs = 50;
/** Slow-down of the first token by one more running request. */
const runningMs: Ms = 2;
/** Time of a request and its answer on the way. */
const travelMs: Record<ZoneDistance, Ms> = {same_zone: 0, same_region: 3, other_region: 40};
const failureMs: Ms = 600;
/** Part of a shared prompt that its home engine is expected to hold, where nothing is known from here. */
const homeShare = 0.8;

/**
 * Costs of a choice, in units of the value of one plain answer. Their proportions follow the users' price lists.
 */
const costs = {
	/** One ms until the first token. */
	perMs: 0.0008,
	/** One byte of a request or an answer between zones of a region, and between regions. */
	perByte: {same_zone: 0, same_region: 0.25e-6, other_region: 6e-6} satisfies Record<ZoneDistance, number>,
	/** One byte of a stage's result between zones. */
	perResultByte: 0.095e-6,
	/** One token of a shared part that is read again though another engine holds it. */
	perSharedToken: 0.26e-3,
};
/** Chance that a shared part that is not held was read elsewhere a moment ago. */
const readElsewhereShare = 0.5;
/** Bytes of an answer for each token, and of the heads. */
const bytesPerToken = 15;
const headBytes = 800;
/** Answers are mostly shorter than the caller allows. */
const usualOutputShare = 0.5;

/** What is known of the request. */
export interface ChooseEngineOptions {
	readonly now: Ms;
	readonly tried: ReadonlySet<RelayTarget>;
	readonly prompt: Prompt;
	readonly bodyBytes: number;
	/** Results that the engine takes, by zone. */
	readonly results: readonly ZoneTransfer[];
	readonly memory: PromptMemory;
	readonly distance: (zone: string) => ZoneDistance;
	/** Orders engines for a shared prompt, the same at every entry VM; the first is its home. */
	readonly rank: (key: string, engines: readonly string[]) => readonly string[];
}

/**
 * Chooses the engine of a request by the least cost: time to the first token (prompt tokens that it does not hold,
 * prompts sent to it that it has not started to answer, running requests, failures, the way), shared prompt parts read
 * again, and bytes that move between zones. Each shared prompt has one home among all engines, so that entry VMs that
 * know nothing of each other's requests read it once.
 *
 * @example
 * chooseEngine(registry.open('engines'), {now, tried, prompt, bodyBytes, results, memory, distance, rank});
 */
export function chooseEngine(engines: readonly RelayTarget[], options: ChooseEngineOptions): RelayTarget | undefined {
	const {now, tried, prompt, rank} = options;
	const untried = engines.filter(engine => !tried.has(engine));
	const reachable = untried.filter(engine => !engine.isAvoided(now));
	const candidates = reachable.length > 0 ? reachable : untried;
	const shared = prompt.parts.slice(0, -1);
	const home = rank(shared.map(part => part.id).join('/'), candidates.map(engine => engine.id).toSorted())[0];
	let best: RelayTarget | undefined;
	let least = Infinity;
	for (const engine of candidates) {
		const cost = costOf(engine, engine.id === home, options);
		if (cost < least) {
			best = engine;
			least = cost;
		}
	}

	return best;
}

function costOf(engine: RelayTarget, isHome: boolean, options: ChooseEngineOptions): number {
	const {now, prompt, bodyBytes, results, memory, distance} = options;
	const {zone} = engine.entry;
	const sharedTokens = prompt.parts.slice(0, -1).reduce((sum, part) => sum + part.tokens, 0);
	const known = memory.heldTokens(engine.id, prompt.parts, now);
	const held = Math.max(known, isHome ? homeShare * sharedTokens : 0);
	const way = distance(zone);
	const firstTokenMs = ((prompt.inputTokens - held + engine.pendingTokens) / prefillTokensPerMs) + (engine.inFlight * runningMs) + travelMs[way] + (engine.failureRate * failureMs);
	const readAgain = isHome ? 0 : Math.max(0, sharedTokens - held) * readElsewhereShare;
	const bytes = bodyBytes + headBytes + (prompt.maxOutputTokens * bytesPerToken * usualOutputShare);
	const resultBytes = results.reduce((sum, pull) => sum + (pull.zone === zone ? 0 : pull.bytes), 0);
	return (firstTokenMs * costs.perMs) + (readAgain * costs.perSharedToken) + (bytes * costs.perByte[way]) + (resultBytes * costs.perResultByte);
}
