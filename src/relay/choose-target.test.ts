import {describe, expect, it} from 'vitest';
import {RelayTarget} from '../registry/index.js';
import {chooseTarget, type ChooseTargetOptions} from './choose-target.js';

const target = (id: string, zone: string) => RelayTarget.create({
	id, service: 'desk', address: `${id}:80`, zone, slots: 6, isDraining: false, startedMs: 1,
});
const options = (fields: Partial<ChooseTargetOptions> = {}): ChooseTargetOptions => ({
	now: 0, tried: new Set(), distance: zone => zone === 'riga-a' ? 'same_zone' : 'other_region', point: 0, ...fields,
});

describe('chooseTarget', () => {
	it('stays in the zone while its target is not loaded', () => {
		const targets = [target('far', 'liepaja-a'), target('near', 'riga-a')];
		expect(chooseTarget(targets, options())!.id).toBe('near');
	});

	// Pattern: a target that fails a part of its requests while its health check is good.
	it('leaves a target that fails requests', () => {
		const [far, near] = [target('far', 'liepaja-a'), target('near', 'riga-a')];
		for (let call = 0; call < 4; call++) {
			near.ended('failed', 0, 5);
		}

		expect(chooseTarget([far, near], options())!.id).toBe('far');
	});

	// Pattern: a target that turned slow.
	it('leaves a slow target, and one whose calls pile up', () => {
		const [far, near] = [target('far', 'liepaja-a'), target('near', 'riga-a')];
		near.ended('ok', 0, 300);
		expect(chooseTarget([far, near], options())!.id).toBe('far');
		const loaded = target('loaded', 'riga-a');
		loaded.inFlight = 30;
		expect(chooseTarget([far, loaded], options())!.id).toBe('far');
	});

	it('returns nothing when every target was tried', () => {
		const only = target('only', 'riga-a');
		expect(chooseTarget([only], options({tried: new Set([only])}))).toBeUndefined();
	});
});
