import {describe, expect, it} from 'vitest';
import {rankByRendezvous} from '../links/index.js';
import {Random} from '../random/index.js';
import {RelayTarget} from '../registry/index.js';
import {chooseEngine, type ChooseEngineOptions, type EngineChoice} from './choose-engine.js';
import type {ZoneDistance} from './choose-target.js';
import {PrefixCacheTracker} from './prefix-cache-tracker.js';
import type {Prompt} from './relay-codec.js';

const zones = ['riga-a', 'liepaja-a', 'daugavpils-a'];
const engines = () => Array.from({length: 9}, (_, index) => RelayTarget.create({
	id: `e${index}`, service: 'llm', address: `10.0.0.${index}:80`, zone: zones[index % 3]!, slots: 64, isDraining: false, startedMs: 1,
}));
const prompt = (subject: number, own: number): Prompt => ({
	inputTokens: 9190, maxOutputTokens: 60, parts: [{id: `set${subject % 4}`, tokens: 2520}, {id: `subject${subject}`, tokens: 3780}, {id: `own${own}`, tokens: 2890}],
});
const distanceFrom = (own: string) => (zone: string): ZoneDistance => zone === own ? 'same_zone' : 'other_region';
const options = (fields: Partial<ChooseEngineOptions>): ChooseEngineOptions => ({
	now: 0, tried: new Set(), prompt: prompt(1, 1), bodyBytes: 18_000, stageResults: [], prefixCache: PrefixCacheTracker.create(), distance: distanceFrom('riga-a'), rank: rankByRendezvous, ...fields,
});

describe('chooseEngine', () => {
	it('sends a large shared prompt to the same engine from every zone', () => {
		const all = engines();
		const chosen = zones.map(zone => chooseEngine(all, options({distance: distanceFrom(zone)}))!.id);
		expect(new Set(chosen).size).toBe(1);
	});

	it('keeps a prompt with a small shared part in its zone', () => {
		const small: Prompt = {inputTokens: 2000, maxOutputTokens: 60, parts: [{id: 'a', tokens: 100}, {id: 'b', tokens: 1900}]};
		expect(chooseEngine(engines(), options({prompt: small}))!.entry.zone).toBe('riga-a');
	});

	it('avoids the home engine when many prompt tokens are pending there', () => {
		const all = engines();
		const home = chooseEngine(all, options({}))!;
		home.pendingTokens = 200_000;
		expect(chooseEngine(all, options({}))).not.toBe(home);
	});

	it('excludes engines that were tried, and uses avoided ones as a last resort', () => {
		const all = engines();
		const home = chooseEngine(all, options({}))!;
		expect(chooseEngine(all, options({tried: new Set([home])}))).not.toBe(home);
		home.recordCall('unreachable', 0, 0);
		expect(chooseEngine(all, options({}))).not.toBe(home);
		expect(chooseEngine([home], options({}))).toBe(home);
	});

	it('chooses the zone of the stage results when they dominate the cost', () => {
		const small: Prompt = {inputTokens: 600, maxOutputTokens: 30, parts: [{id: 'a', tokens: 600}]};
		const results = [{zone: 'liepaja-a', bytes: 1.5e6}, {zone: 'liepaja-a', bytes: 1.5e6}];
		expect(chooseEngine(engines(), options({prompt: small, bodyBytes: 1400, stageResults: results}))!.entry.zone).toBe('liepaja-a');
	});

	// Guards against negative lengths in messages to other entry VMs, which close the link, by a caller whose parts have more tokens than its prompt.
	it('counts no fewer than 0 uncached tokens if the parts have more tokens than the prompt', () => {
		const contradictory: Prompt = {inputTokens: 100, maxOutputTokens: 10, parts: [{id: 'a', tokens: 4000}, {id: 'b', tokens: 20}]};
		const sideTokens: number[] = [];
		const choices: EngineChoice[] = [];
		const outlook = () => ({
			aheadTokens: 0, slowness: 1, reportAgeMs: 0, speedAgeMs: undefined,
		});
		chooseEngine(engines(), options({
			prompt: contradictory, random: Random.create(1), loads: {
				outlook, side(_engines, uncachedTokens) {
					sideTokens.push(uncachedTokens);
					return undefined;
				},
			}, onChoice(choice) {
				choices.push(choice);
			},
		}));
		expect([sideTokens, choices.map(({uncachedTokens}) => uncachedTokens)]).toEqual([[0], [0]]);
	});

	// Guards against long prompts that leave their region, which is billed, since the engines for them are busy there.
	it('sends a long prompt to an engine for short ones of its region rather than to another region', () => {
		const long: Prompt = {inputTokens: 40_000, maxOutputTokens: 60, parts: [{id: 'own', tokens: 40_000}]};
		const loads = {
			side: () => ({kind: 'long', prefers: (id: string) => ['e0', 'e1', 'e2'].includes(id)} as const),
			outlook: (engine: RelayTarget) => ({
				aheadTokens: engine.id === 'e0' ? 20_000 : 0, slowness: 1, reportAgeMs: 0, speedAgeMs: undefined,
			}),
		};
		const choices: EngineChoice[] = [];
		const chosen = chooseEngine(engines(), options({
			prompt: long, loads, random: Random.create(1), onChoice: choice => choices.push(choice),
		}))!;
		expect([chosen.entry.zone, chosen.id, choices[0]?.side]).toEqual(['riga-a', 'e0', {kind: 'long', isSpilled: false}]);
		const spilled = chooseEngine(engines().filter(({id}) => id !== 'e0'), options({prompt: long, loads, random: Random.create(1)}))!;
		expect(spilled.entry.zone).toBe('riga-a');
	});

	// Entry VMs in different zones receive requests for the same new subjects at the same time, before any of them has
	// sent these prompts to an engine. A choice by load alone then prefills each subject on several engines.
	it('prefills shared parts repeatedly far less often than a choice by load alone', () => {
		const random = Random.create(9);
		const prefixCaches = zones.map(() => PrefixCacheTracker.create());
		const all = engines();
		const holdersByCost = new Map<string, Set<string>>();
		const holdersByLoad = new Map<string, Set<string>>();
		let repeated = 0;
		let repeatedByLoad = 0;
		for (let request = 0; request < 600; request++) {
			const zone = random.integer(0, 2);
			const subject = random.integer(0, 60);
			const each = prompt(subject, request);
			const engine = chooseEngine(all, options({prompt: each, prefixCache: prefixCaches[zone]!, distance: distanceFrom(zones[zone]!)}))!;
			prefixCaches[zone]!.recordRequest(engine.id, each.parts, 0);
			repeated += countRepeatedPrefill(holdersByCost, engine.id, subject);
			repeatedByLoad += countRepeatedPrefill(holdersByLoad, `e${random.integer(0, 8)}`, subject);
		}

		expect(repeated).toBeLessThan(repeatedByLoad / 4);
	});
});

/** Returns 1 if the engine prefills a subject that only other engines have cached, else 0. */
function countRepeatedPrefill(holdersBySubject: Map<string, Set<string>>, engine: string, subject: number): number {
	const key = String(subject);
	const holders = holdersBySubject.get(key) ?? new Set<string>();
	holdersBySubject.set(key, holders);
	const isRepeated = holders.size > 0 && !holders.has(engine);
	holders.add(engine);
	return isRepeated ? 1 : 0;
}
