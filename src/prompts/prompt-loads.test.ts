import {expect, it} from 'vitest';
import {RelayTarget} from '../registry/index.js';
import {PromptLoads} from './prompt-loads.js';

const create = () => PromptLoads.create({
	clock: {now: () => 0}, rank: (_key, names) => names, groupOf: zone => zone.slice(0, 1), service: name => name === 'llm'
		? {
			name, maxConnections: 1, stagePool: undefined, engineSlots: 64, engineMemoryTokens: 10_000,
		}
		: undefined,
});
const target = (id: string, fields = {}) => RelayTarget.create({
	id, service: 'llm', address: '10.0.0.1:80', zone: 'a1', slots: 64, isDraining: false, startedMs: 1, ...fields,
});
const prompt = {
	inputTokens: 6000, maxOutputTokens: 100, uncachedTokens: 4000, isStream: true, roundTripMs: 0,
};

// Guards against work of an earlier start that keeps prompts from an engine that has restarted.
it('knows no work of an engine that has restarted', () => {
	const loads = create();
	const [before, after] = [target('e-1'), target('e-1', {startedMs: 2})];
	loads.start(before, prompt);
	expect([before, after].map(engine => [loads.outlook(engine).aheadTokens, loads.hasRoom(engine, prompt)])).toEqual([[4000, false], [0, true]]);
});

it('counts nothing at targets that are no model engines', () => {
	const loads = create();
	expect([loads.start(target('d-1', {service: 'desk'}), prompt), loads.totals().own.heldTokens]).toEqual([undefined, 0]);
});

it('keeps an engine for each kind of prompt in each region, where one alone is for both', () => {
	const loads = create();
	loads.addLengths('llm', [[0, 100, 6000], [20, 10, 300_000]]);
	const engines = [target('e-1'), target('e-2'), target('e-3', {zone: 'b1'}), target('e-4', {zone: 'b2'}), target('e-5', {zone: 'c1'})];
	const preferred = (tokens: number) => engines.map(({id}) => id).filter(id => loads.side(engines, tokens)!.prefers(id));
	expect([preferred(30_000), preferred(60)]).toEqual([['e-1', 'e-3', 'e-5'], ['e-2', 'e-4', 'e-5']]);
});
