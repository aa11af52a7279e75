import type {Clock} from '../../src/clock/index.js';
import {rankByRendezvous} from '../../src/links/index.js';
import {engineKey} from '../../src/prompts/engine-key.js';
import {PromptLoads, type WorkRow} from '../../src/prompts/index.js';
import {Random} from '../../src/random/index.js';
import {RelayTarget} from '../../src/registry/index.js';
import {
	chooseEngine, PrefixCacheTracker, type EngineChoice, type Prompt,
} from '../../src/relay/index.js';
import type {ServiceDeclaration} from '../../src/routes/index.js';

const engineCount = 21;
const entryVms = 20;
const service: ServiceDeclaration = {
	name: 'llm', maxConnections: 100, stagePool: undefined, engineSlots: 64, engineMemoryTokens: 330_000,
};
/** Time between the reports of a leader, and until one has reached all others. */
const reportIntervalMs = 250;
const reportLagMs = 40;
/** Prefill rate of an engine of usual speed, and the time to the first event without prefill. */
const tokensPerMs = 40;
const baseMs = 10;
/** Decoding that follows the first event. */
const decodeMs = 200;
/** Time for which other workloads slow an engine down, by which factor, and the mean time between two of these. */
const slowdown = {durationMs: 600, factor: 2.5, everyMs: 10_000};

/** How engines are chosen: with own pending tokens only, by all that is known, or with separate engines for long prompts as well. */
export type ChoicePolicy = 'own_tokens' | 'completion' | 'separated';

/** A kind of prompt: its share of all prompts, and its length. */
export interface PromptKind {
	readonly name: string;
	readonly share: number;
	/** Returns a prompt whose own part has the given id. */
	readonly create: (random: Random, id: string) => Prompt;
}

/** Options of {@link simulateEngines}. */
export interface SimulatedEnginesOptions {
	readonly policy: ChoicePolicy;
	readonly kinds: readonly PromptKind[];
	readonly promptsPerSecond: number;
	/** Factors by which work takes longer at the engines, repeated. */
	readonly slowness: readonly number[];
	readonly isSlowedDown: boolean;
	readonly seed: number;
	readonly durationMs: number;
}

/** Times to the first event of one kind, in ms. */
export interface FirstEventTimes {
	readonly mean: number;
	readonly p99: number;
}

type SimulatedVm = {readonly loads: PromptLoads; readonly prefixCache: PrefixCacheTracker; readonly targets: readonly RelayTarget[]; readonly random: Random};
type SimulatedEngine = {busyUntilMs: number; readonly cached: Set<string>; readonly slowness: number; slowUntilMs: number; nextSlowMs: number};

/** Time, and what is to be done at each ms of it. */
class EventQueue implements Pick<Clock, 'now'> {
	nowMs = 0;
	readonly #events = new Map<number, Array<() => void>>();

	now(): number {
		return this.nowMs;
	}

	at(atMs: number, run: () => void): void {
		const slot = Math.ceil(atMs);
		this.#events.set(slot, [...this.#events.get(slot) ?? [], run]);
	}

	runUntil(endMs: number): void {
		for (; this.nowMs < endMs; this.nowMs++) {
			for (const run of this.#events.get(this.nowMs) ?? []) {
				run();
			}
		}
	}
}

/**
 * Simulates entry VMs that send prompts to engines, which prefill one prompt after the other. Returns the times to the
 * first event by kind of prompt, after the first sixth of the time.
 *
 * @example
 * const times = simulateEngines({policy: 'separated', kinds, promptsPerSecond: 60, slowness: [1], isSlowedDown: false, seed: 1, durationMs: 40_000});
 */
export function simulateEngines({policy, kinds, promptsPerSecond, slowness, isSlowedDown, seed, durationMs}: SimulatedEnginesOptions): ReadonlyMap<string, FirstEventTimes> {
	const random = Random.create(seed);
	const queue = new EventQueue();
	const engines: SimulatedEngine[] = Array.from({length: engineCount}, (_, index) => ({
		busyUntilMs: 0, cached: new Set(), slowness: slowness[index % slowness.length]!, slowUntilMs: 0, nextSlowMs: isSlowedDown ? random.exponential(slowdown.everyMs) : Infinity,
	}));
	const tellOthers = (from: number, tell: (loads: PromptLoads) => void) => {
		queue.at(queue.nowMs + reportLagMs, () => {
			for (const [vm, {loads}] of vms.entries()) {
				if (vm !== from) {
					tell(loads);
				}
			}
		});
	};

	const vms: SimulatedVm[] = Array.from({length: entryVms}, (_, vm) => ({
		loads: PromptLoads.create({
			clock: queue, service: () => service, rank: rankByRendezvous, groupOf: zone => zone, listener: {
				onObservation(engine, observation) {
					tellOthers(vm, ({speeds}) => {
						speeds.observe(engine, observation, queue.nowMs);
					});
				},
				onLength(name, row) {
					tellOthers(vm, loads => {
						loads.addLengths(name, [row]);
					});
				},
				onWork: () => undefined,
			},
		}),
		prefixCache: PrefixCacheTracker.create(),
		targets: engines.map((_, index) => RelayTarget.create({
			id: `e${index}`, service: 'llm', address: `10.0.0.${index}:80`, zone: 'riga-a', slots: 64, isDraining: false, startedMs: 1,
		})),
		random: Random.create(seed + vm + 1),
	}));
	const times = new Map<string, number[]>(kinds.map(({name}) => [name, []]));

	const send = (vm: SimulatedVm, kind: string, prompt: Prompt) => {
		const now = queue.nowMs;
		let choice: EngineChoice | undefined;
		const loads = policy === 'own_tokens' ? undefined : {outlook: (engine: RelayTarget) => vm.loads.outlook(engine), side: (...args: Parameters<PromptLoads['side']>) => policy === 'separated' ? vm.loads.side(...args) : undefined};
		const target = chooseEngine(vm.targets, {
			now, tried: new Set(), prompt, bodyBytes: 1000, stageResults: [], prefixCache: vm.prefixCache, distance: () => 'same_zone', rank: rankByRendezvous, loads, random: vm.random, onChoice(chosen) {
				choice = chosen;
			},
		})!;
		const ticket = vm.loads.start(target, {
			...prompt, uncachedTokens: choice!.uncachedTokens, isStream: true, roundTripMs: 0,
		});
		target.inFlight++;
		target.pendingTokens += prompt.inputTokens;
		const firstEventMs = runPrompt(engines[vm.targets.indexOf(target)]!, prompt, now);
		queue.at(firstEventMs, () => {
			target.pendingTokens -= prompt.inputTokens;
			vm.prefixCache.recordRequest(target.id, prompt.parts, queue.nowMs);
			ticket!.recordFirstEvent();
			if (now > durationMs / 6) {
				times.get(kind)!.push(firstEventMs - now);
			}
		});
		queue.at(firstEventMs + decodeMs, () => {
			target.inFlight--;
			ticket!.end();
		});
	};

	for (let atMs = 0, id = 0; atMs < durationMs; atMs += random.exponential(1000 / promptsPerSecond), id++) {
		const draw = random.float();
		let sum = 0;
		const kind = kinds.find(({share}) => {
			sum += share;
			return draw < sum;
		}) ?? kinds[0]!;
		const [vm, prompt] = [vms[random.integer(0, entryVms - 1)]!, kind.create(random, `own ${id}`)];
		queue.at(atMs, () => {
			send(vm, kind.name, prompt);
		});
	}

	for (let atMs = reportIntervalMs; atMs < durationMs; atMs += reportIntervalMs) {
		queue.at(atMs, () => {
			reportWork(vms, queue);
		});
	}

	queue.runUntil(durationMs + 5000);
	return new Map([...times].map(([name, values]) => [name, summarize(values)]));
}

/** Prefills a prompt behind those that came before, and returns the time of its first event. */
function runPrompt(engine: SimulatedEngine, {parts}: Prompt, now: number): number {
	while (engine.nextSlowMs <= now) {
		engine.slowUntilMs = engine.nextSlowMs + slowdown.durationMs;
		engine.nextSlowMs += slowdown.everyMs;
	}

	const firstUncached = parts.findIndex(({id}) => !engine.cached.has(id));
	const tokens = firstUncached === -1 ? 0 : parts.slice(firstUncached).reduce((sum, part) => sum + part.tokens, 0);
	for (const {id} of parts.slice(0, -1)) {
		engine.cached.add(id);
	}

	const startMs = Math.max(now, engine.busyUntilMs);
	const factor = engine.slowness * (startMs < engine.slowUntilMs ? slowdown.factor : 1);
	engine.busyUntilMs = startMs + (tokens * factor / tokensPerMs);
	return engine.busyUntilMs + (baseMs * factor);
}

/** Tells each entry VM the work of all others, as the leaders of cells do. */
function reportWork(vms: readonly SimulatedVm[], queue: EventQueue): void {
	const keys = vms[0]!.targets.map(target => engineKey(target));
	const own = vms.map(({loads}) => keys.map(key => loads.work.own(key, queue.nowMs)));
	const totals = keys.map((_, index) => own.reduce((sum, works) => [sum[0]! + works[index]!.pendingTokens, sum[1]! + works[index]!.heldTokens], [0, 0]));
	for (const [vm, {loads}] of vms.entries()) {
		const rows = keys.map((key, index): WorkRow => [key, totals[index]![0]! - own[vm]![index]!.pendingTokens, totals[index]![1]! - own[vm]![index]!.heldTokens]);
		queue.at(queue.nowMs + reportLagMs, () => {
			loads.work.report(queue, {rows, isFull: true}, queue.nowMs);
		});
	}
}

function summarize(values: number[]): FirstEventTimes {
	const sorted = values.toSorted((a, b) => a - b);
	return {mean: sorted.reduce((sum, value) => sum + value, 0) / sorted.length, p99: sorted[Math.floor(sorted.length * 0.99)]!};
}
