import {describe, expect, it} from 'vitest';
import {ColdPhases} from './cold-phases.js';
import {judgeCold} from './judge-cold.js';

const coldStart = {durationMs: 3000, perSecond: 11};

describe('judgeCold', () => {
	it.each([
		[{source: 'entry', remainingMs: 1200}, 1200],
		[{source: 'health', remainingMs: 0}, 0],
		[{source: 'health', remainingMs: 1e9}, 5000],
		[{source: 'start'}, 5000],
		[{source: 'reachable_again'}, 5000],
		[{source: 'evacuation'}, 5000],
	] as const)('treats a target as cold after %o for %d ms', (evidence, expected) => {
		expect(judgeCold(evidence, coldStart)).toBe(expected);
	});

	// Guards against restrictions in deployments that declare no cold starts.
	it('suspects nothing without a declared cold start', () => {
		expect(judgeCold({source: 'start'}, undefined)).toBe(0);
	});
});

describe('ColdPhases', () => {
	// Guards against a target that counts as warm because an old entry says so, while its health path told that it is cold.
	it('is prolonged by later evidence and never shortened', () => {
		const phases = ColdPhases.create();
		expect(phases.observe('e-1', {source: 'health', untilMs: 4000, now: 1000})).toBe('began');
		expect(phases.observe('e-1', {source: 'entry', untilMs: 2000, now: 1100})).toBe('none');
		expect(phases.observe('e-1', {source: 'evacuation', untilMs: 6000, now: 1200})).toBe('prolonged');
		expect(phases.at('e-1', 5999)).toEqual({
			target: 'e-1', source: 'health', sinceMs: 1000, untilMs: 6000, seenMs: 1200,
		});
		expect(phases.at('e-1', 6000)).toBeUndefined();
	});

	// Guards against news that circulate between entry VMs, each of which adds the delay of the message.
	it('does not report a prolongation by the delay of a message', () => {
		const phases = ColdPhases.create();
		phases.observe('e-1', {source: 'start', untilMs: 4000, now: 1000});
		expect(phases.observe('e-1', {source: 'start', untilMs: 4050, now: 1050})).toBe('none');
	});

	it('begins another phase after one has ended, and reports each end once', () => {
		const phases = ColdPhases.create();
		phases.observe('e-1', {source: 'start', untilMs: 4000, now: 1000});
		expect(phases.takeEnded(4000).map(({target}) => target)).toEqual(['e-1']);
		expect(phases.takeEnded(4000)).toEqual([]);
		expect(phases.observe('e-1', {source: 'entry', untilMs: 9000, now: 8000})).toBe('began');
		expect(phases.current(8500)).toHaveLength(1);
	});
});
