import {describe, expect, it} from 'vitest';
import {rankByRendezvous} from '../links/index.js';
import {Random} from '../random/index.js';
import {RelayTarget} from '../registry/index.js';
import {chooseEngine, type ChooseEngineOptions} from './choose-engine.js';
import type {ZoneDistance} from './choose-target.js';
import {PromptMemory} from './prompt-memory.js';
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
	now: 0, tried: new Set(), prompt: prompt(1, 1), bodyBytes: 18_000, results: [], memory: PromptMemory.create(), distance: distanceFrom('riga-a'), rank: rankByRendezvous, ...fields,
});

describe('chooseEngine', () => {
	it('sends a large shared prompt to the same engine from every zone', () => {
		const all = engines();
		const chosen = zones.map(zone => chooseEngine(all, options({distance: distanceFrom(zone)}))!.id);
		expect(new Set(chosen).size).toBe(1);
	});

	it('keeps a prompt with little to share in its zone', () => {
		const small: Prompt = {inputTokens: 2000, maxOutputTokens: 60, parts: [{id: 'a', tokens: 100}, {id: 'b', tokens: 1900}]};
		expect(chooseEngine(engines(), options({prompt: small}))!.entry.zone).toBe('riga-a');
	});

	it('leaves the home engine when prompts pile up there', () => {
		const all = engines();
		const home = chooseEngine(all, options({}))!;
		home.pendingTokens = 200_000;
		expect(chooseEngine(all, options({}))).not.toBe(home);
	});

	it('leaves out engines that were tried, and takes avoided ones last', () => {
		const all = engines();
		const home = chooseEngine(all, options({}))!;
		expect(chooseEngine(all, options({tried: new Set([home])}))).not.toBe(home);
		home.ended('unreachable', 0, 0);
		expect(chooseEngine(all, options({}))).not.toBe(home);
		expect(chooseEngine([home], options({}))).toBe(home);
	});

	it('goes where the results are when they outweigh the rest', () => {
		const small: Prompt = {inputTokens: 600, maxOutputTokens: 30, parts: [{id: 'a', tokens: 600}]};
		const results = [{zone: 'liepaja-a', bytes: 1.5e6}, {zone: 'liepaja-a', bytes: 1.5e6}];
		expect(chooseEngine(engines(), options({prompt: small, bodyBytes: 1400, results}))!.entry.zone).toBe('liepaja-a');
	});

	// Pattern: many subjects asked for from every zone at once, each known to nobody.
	it('reads shared parts again far less often than a choice by load alone', () => {
		const random = Random.create(9);
		const memories = zones.map(() => PromptMemory.create());
		const all = engines();
		const held = new Map<string, Set<string>>();
		const byLoad = new Map<string, Set<string>>();
		let again = 0;
		let againByLoad = 0;
		for (let request = 0; request < 600; request++) {
			const zone = random.integer(0, 2);
			const subject = random.integer(0, 60);
			const each = prompt(subject, request);
			const engine = chooseEngine(all, options({prompt: each, memory: memories[zone]!, distance: distanceFrom(zones[zone]!)}))!;
			memories[zone]!.sent(engine.id, each.parts, 0);
			again += read(held, engine.id, subject);
			againByLoad += read(byLoad, `e${random.integer(0, 8)}`, subject);
		}

		expect(again).toBeLessThan(againByLoad / 4);
	});
});

/** 1 when the subject is read though another engine holds it. */
function read(held: Map<string, Set<string>>, engine: string, subject: number): number {
	const key = String(subject);
	const holders = held.get(key) ?? new Set<string>();
	held.set(key, holders);
	const isAgain = holders.size > 0 && !holders.has(engine);
	holders.add(engine);
	return isAgain ? 1 : 0;
}
