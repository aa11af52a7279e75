import {expect, it} from 'vitest';
import {EraTracker} from './era-tracker.js';

function create() {
	const eras = EraTracker.create();
	const changes: Array<[number, number]> = [];
	eras.onChange((era, before) => {
		changes.push([era, before]);
	});
	return {eras, changes};
}

it('reports a changed era once, and none for the first', () => {
	const {eras, changes} = create();
	expect([eras.accept(3, undefined), eras.accept(4, 3), eras.accept(4, 3)]).toEqual([3, 4, 4]);
	expect(changes).toEqual([[4, 3]]);
});

// Guards against a late response of the lost history that is taken for the newest state of the restored one.
it('recognizes a response that the restore has overtaken', () => {
	const {eras, changes} = create();
	eras.accept(3, undefined);
	eras.accept(4, 3);
	expect(eras.accept(3, 3)).toBe('late');
	expect([eras.current, changes]).toEqual([4, [[4, 3]]]);
});

// Guards against a process that rejects every response of a store that was set up anew.
it('accepts a lower era in response to a call that was sent since the last change', () => {
	const {eras} = create();
	eras.accept(4, undefined);
	expect(eras.accept(0, 4)).toBe(0);
	expect(eras.current).toBe(0);
});

it('assigns responses without an era to the current one', () => {
	const {eras} = create();
	expect(eras.accept(undefined, undefined)).toBe(0);
	eras.accept(2, undefined);
	expect(eras.accept(undefined, 2)).toBe(2);
});
