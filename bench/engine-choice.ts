/**
 * Measures the processor time of choosing a model engine and of the exchange of prompt work: microseconds per request and
 * per message, as medians, which other load on the machine changes least. The checksums change if a choice or a message
 * does.
 * Run: npx tsx bench/engine-choice.ts
 */
import {createHash} from 'node:crypto';
import {performance} from 'node:perf_hooks';
import {ManualClock, type Clock} from '../src/clock/index.js';
import {decodeLinkMessage, encodeLinkMessage} from '../src/links/link-message.js';
import {RankCache, type Link, type LinkMessage} from '../src/links/index.js';
import {silentLoggerFactory} from '../src/logging/index.js';
import {Placement} from '../src/placement/index.js';
import {PromptExchange, PromptLoads, type PromptMessage} from '../src/prompts/index.js';
import {Random} from '../src/random/index.js';
import {TargetRegistry, type RelayTarget} from '../src/registry/index.js';
import {PrefixCacheTracker} from '../src/relay/prefix-cache-tracker.js';
import type {Prompt} from '../src/relay/relay-codec.js';
import {startPrompt} from '../src/relay/start-prompt.js';
import {TargetPicker} from '../src/relay/target-picker.js';
import type {RelayContext} from '../src/relay/relay-context.js';
import {SimulatedMesh} from '../test/support/simulated-mesh.js';

const seed = 42;
const zones = ['riga-a', 'riga-b', 'riga-c', 'liepaja-a'];
const service = {
	name: 'llm', maxConnections: 100, stagePool: undefined, engineSlots: 64, engineMemoryTokens: 400_000,
};
const logger = silentLoggerFactory('requests');
const regionOf = (zone: string) => zone.split('-', 1)[0]!;

type Size = {readonly vms: number; readonly engines: number; readonly promptsPerSecond: number};
const sizes: readonly Size[] = [
	{vms: 9, engines: 8, promptsPerSecond: 60},
	{vms: 60, engines: 63, promptsPerSecond: 200},
	{vms: 200, engines: 140, promptsPerSecond: 600},
];

function createPrompt(random: Random, id: number): Prompt {
	const kind = random.float();
	if (kind < 0.02) {
		const tokens = random.integer(15_000, 50_000);
		return {inputTokens: tokens, maxOutputTokens: 60, parts: [{id: `own-${id}`, tokens}]};
	}

	if (kind < 0.17) {
		const [tokens, subject] = [Math.min(40_000, Math.round(random.exponential(2890))), random.integer(0, 40)];
		return {inputTokens: 6300 + tokens, maxOutputTokens: 60, parts: [{id: `set-${subject % 4}`, tokens: 2520}, {id: `subject-${subject}`, tokens: 3780}, {id: `own-${id}`, tokens}]};
	}

	const tokens = Math.round(200 + random.exponential(1200));
	return {inputTokens: 370 + tokens, maxOutputTokens: 60, parts: [{id: `style-${random.integer(0, 10)}`, tokens: 370}, {id: `own-${id}`, tokens}]};
}

function createRegistry(clock: Clock, engines: number): TargetRegistry {
	const registry = TargetRegistry.create({clock, logger});
	for (let index = 0; index < engines; index++) {
		registry.put({
			id: `engines-${zones[index % zones.length]!}-${index}`, service: 'llm', address: `10.0.0.1:${index}`, zone: zones[index % zones.length]!, slots: 64, isDraining: false, startedMs: 1,
		});
	}

	return registry;
}

/** Measures requests at one entry VM that has 200 waiting ones, where `peers` others have reported work at all engines. */
async function measureChoices(engines: number, peers: number): Promise<void> {
	const clock = ManualClock.create({now: 10_000});
	const registry = createRegistry(clock, engines);
	const random = Random.create(seed);
	const ranks = RankCache.create();
	const loads = PromptLoads.create({
		clock, service: () => service, rank: (key, names) => ranks.of(key, names), groupOf: regionOf,
	});
	const context = {
		clock,
		logger,
		placement: Placement.create({
			clock, logger, targets: registry, zone: 'riga-a', regionOf,
		}),
		random: Random.create(seed),
		prefixCache: PrefixCacheTracker.create(),
		distance: (zone: string) => zone === 'riga-a' ? 'same_zone' : (regionOf(zone) === 'riga' ? 'same_region' : 'other_region'),
		rank: (key: string, names: readonly string[]) => ranks.of(key, names),
		prompts: loads,
		limits: {reserve: async () => ({waitMs: 0})},
		coldTargets: {
			isCold: () => false, isDenied: () => false, deniedUntilMs: () => 0, reserve: async () => ({waitMs: 0, sendByMs: 0}),
		},
		probe: async () => 'alive',
	} as unknown as RelayContext;
	const sources = Array.from({length: peers}, () => ({}));
	const checksum = createHash('sha256');
	const running: Array<{readonly target: RelayTarget; readonly ticket: ReturnType<typeof startPrompt>}> = [];
	const times: Record<'request' | 'choose' | 'start', number[]> = {request: [], choose: [], start: []};
	const [warmUp, measured] = [2000, 6000];
	for (let request = 0; request < warmUp + measured; request++) {
		const prompt = createPrompt(random, request);
		await clock.advance(1000 / 200);
		if (request % 58 === 0) {
			for (const source of sources) {
				loads.work.report(source, {isFull: false, rows: [...registry.all()].map((target, index) => [engineKeyOf(loads, target, index), random.integer(0, Math.round(12_000 / peers)), random.integer(1000, Math.round(150_000 / peers))])}, clock.now());
			}
		}

		const startedMs = performance.now();
		const picker = TargetPicker.create(context, {
			attemptId: 'a', service: 'llm', prompt, bodyBytes: 2000, stageResults: () => [],
		});
		const zone = picker.choose()?.entry.zone;
		const chosenMs = performance.now();
		const {lacksRoom} = picker;
		const target = (await picker.reservePlace())!;
		const reservedMs = performance.now();
		const choice = picker.choiceOf(target)!;
		const ticket = startPrompt(context, {
			target, prompt, choice, isStream: true,
		});
		context.prefixCache.recordRequest(target.id, prompt.parts, clock.now());
		target.inFlight++;
		running.push({target, ticket});
		running.at(-100)?.ticket.recordFirstEvent();
		if (running.length > 200) {
			const ended = running.shift()!;
			ended.ticket.end();
			ended.target.inFlight--;
		}

		const endedMs = performance.now();
		if (request >= warmUp) {
			times.choose.push(chosenMs - startedMs);
			times.request.push(endedMs - startedMs);
			times.start.push(endedMs - reservedMs);
		}

		checksum.update(`${zone} ${lacksRoom} ${target.id} ${choice.cost} ${choice.side?.kind} ${choice.side?.isSpilled}`);
	}

	console.log(`${engines} engines, reports of ${peers} peers: ${medianUs(times.choose)} us a choice, ${medianUs(times.request)} us a request (two choices, and ${medianUs(times.start)} us for start, first event and end); ${checksum.digest('hex').slice(0, 12)}`);
}

const keys = new Map<RelayTarget, number>();

/** Returns the key under which an engine is reported, taken from a prompt that is started and ended there. */
function engineKeyOf(loads: PromptLoads, target: RelayTarget, index: number): number {
	let key = keys.get(target);
	if (key === undefined) {
		const before = new Set(loads.work.engines());
		const ticket = loads.start(target, {
			inputTokens: 100, maxOutputTokens: 10, uncachedTokens: 100, isStream: false, roundTripMs: 0,
		})!;
		key = [...loads.work.engines()].find(other => !before.has(other)) ?? index;
		ticket.end();
		keys.set(target, key);
	}

	return key;
}

/** Times of operations, in ms. */
type Costs = Record<'encode' | 'decode' | 'receive' | 'flush' | 'record', number[]>;

function medianUs(times: readonly number[]): string {
	return (1000 * medianOf(times)).toFixed(1);
}

function medianOf(times: readonly number[]): number {
	return times.toSorted((a, b) => a - b)[Math.floor(times.length / 2)] ?? 0;
}

/** Measures the messages of a fleet, at the leader of the first cell and at its members. */
async function measureExchange({vms, engines, promptsPerSecond}: Size): Promise<void> {
	const clock = ManualClock.create({now: 10_000});
	const targets = [...createRegistry(clock, engines).all()];
	const create = (): Costs => ({
		encode: [], decode: [], receive: [], flush: [], record: [],
	});
	const costs = {leader: create(), member: create()};
	const checksum = createHash('sha256');
	let bytes = 0;
	const exchanges: PromptExchange[] = [];
	const loads: PromptLoads[] = [];
	const roleOf = (vm: number) => vm === 0 ? 'leader' : 'member';
	const timed = <Result>(run: () => Result, add: (ms: number) => void): Result => {
		const startedMs = performance.now();
		const result = run();
		add(performance.now() - startedMs);
		return result;
	};

	const mesh: SimulatedMesh = SimulatedMesh.create({
		size: vms, clock, deliver(vm: number, link: Link, message: LinkMessage) {
			const sender = Number(link.peer.name.slice(3));
			const payload = timed(() => encodeLinkMessage(message), ms => {
				costs[roleOf(sender)].encode.push(ms);
			});
			bytes += payload.length;
			checksum.update(payload);
			const decoded = timed(() => decodeLinkMessage(payload)!.message, ms => {
				costs[roleOf(vm)].decode.push(ms);
			});
			timed(() => {
				exchanges[vm]!.receive(link, decoded as PromptMessage);
			}, ms => {
				costs[roleOf(vm)].receive.push(ms);
			});
		},
	});
	for (let vm = 0; vm < vms; vm++) {
		const role = costs[roleOf(vm)];
		const timedClock = {
			now: () => clock.now(), after: (delay: number, run: () => void) => clock.after(delay, () => {
				timed(run, ms => {
					role.flush.push(ms);
				});
			}),
		} as unknown as Clock;
		const at = mesh.at(vm);
		const [links, leader] = [at.links(), at.leader()];
		const exchange = PromptExchange.create({clock: timedClock, mesh: () => ({...at, links: () => links, leader: () => leader}), loads: () => loads[vm]!});
		exchanges.push(exchange);
		loads.push(PromptLoads.create({
			clock, service: () => service, rank: (_key, names) => names, groupOf: regionOf, listener: exchange,
		}));
	}

	const random = Random.create(seed);
	const durationMs = 6000;
	for (let ms = 0; ms < durationMs; ms += 5) {
		for (let started = Math.floor(promptsPerSecond * ms / 1000); started < Math.floor(promptsPerSecond * (ms + 5) / 1000); started++) {
			const vm = random.integer(0, vms - 1);
			const {inputTokens} = createPrompt(random, started);
			const record = (ms: number) => {
				costs[roleOf(vm)].record.push(ms);
			};

			const target = targets[random.integer(0, engines - 1)]!;
			const ticket = timed(() => loads[vm]!.start(target, {
				inputTokens, maxOutputTokens: 60, uncachedTokens: inputTokens, isStream: true, roundTripMs: 0,
			})!, record);
			clock.after(random.integer(20, 200), () => {
				timed(() => {
					ticket.recordFirstEvent();
				}, record);
			});
			clock.after(random.integer(300, 1500), () => {
				timed(() => {
					ticket.end();
				}, record);
			});
		}

		await clock.advance(5);
	}

	const members = vms - 1;
	const print = (name: string, {encode, decode, receive, flush, record}: Costs, size: number) => {
		const perSecond = 1000 / durationMs / size;
		const totalMs = [encode, decode, receive, flush, record].reduce((sum, times) => sum + (medianOf(times) * times.length), 0);
		console.log(`  ${name}: receives ${(decode.length * perSecond).toFixed(1)}/s, ${medianUs(decode)} us decoding and ${medianUs(receive)} us receiving each; ${(flush.length * perSecond).toFixed(1)} flushes/s of ${medianUs(flush)} us; sends ${(encode.length * perSecond).toFixed(1)}/s of ${medianUs(encode)} us encoding each; in all ${(totalMs * perSecond).toFixed(2)} ms/s`);
	};

	console.log(`${vms} entry VMs, ${engines} engines, ${promptsPerSecond} prompts/s: ${(mesh.messages * 1000 / durationMs / vms).toFixed(1)} messages/s and ${Math.round(bytes * 1000 / durationMs / vms)} B/s for each entry VM; ${checksum.digest('hex').slice(0, 12)}`);
	print('leader', costs.leader, 1);
	print('member', costs.member, members);
}

for (const [engines, peers] of process.env.ONLY ? [[8, 8]] as const : [[8, 1], [8, 8], [63, 1], [63, 26], [140, 1], [140, 32]] as const) {
	keys.clear();
	await measureChoices(engines, peers);
}

for (const size of process.env.ONLY ? [] : sizes) {
	await measureExchange(size);
}
