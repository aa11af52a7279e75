import {describe, expect, it} from 'vitest';
import {RelayTarget} from '../registry/index.js';
import {chooseTarget, type ChooseTargetOptions} from './choose-target.js';

const target = (id: string, zone: string) => RelayTarget.create({
	id, service: 'desk', address: `${id}:80`, zone, slots: 6, isDraining: false, startedMs: 1,
});
const options = (fields: Partial<ChooseTargetOptions> = {}): ChooseTargetOptions => ({
	now: 0, tried: new Set(), distance: zone => zone === 'riga-a' ? 'same_zone' : 'other_region', tieBreaker: 0, ...fields,
});

describe('chooseTarget', () => {
	it('prefers the target in the same zone while it is not loaded', () => {
		const targets = [target('far', 'liepaja-a'), target('near', 'riga-a')];
		expect(chooseTarget(targets, options())!.id).toBe('near');
	});

	// A target fails some of its requests while its health check still succeeds.
	it('avoids a target that fails requests', () => {
		const [far, near] = [target('far', 'liepaja-a'), target('near', 'riga-a')];
		for (let call = 0; call < 4; call++) {
			near.recordCall('failed', 0, 5);
		}

		expect(chooseTarget([far, near], options())!.id).toBe('far');
	});

	it('avoids a target that became slow, and one with many calls in flight', () => {
		const [far, near] = [target('far', 'liepaja-a'), target('near', 'riga-a')];
		near.recordCall('ok', 0, 300);
		expect(chooseTarget([far, near], options())!.id).toBe('far');
		const loaded = target('loaded', 'riga-a');
		loaded.inFlight = 30;
		expect(chooseTarget([far, loaded], options())!.id).toBe('far');
	});

	it('returns undefined when every target was tried', () => {
		const only = target('only', 'riga-a');
		expect(chooseTarget([only], options({tried: new Set([only])}))).toBeUndefined();
	});
});
