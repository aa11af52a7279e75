import {describe, expect, it} from 'vitest';
import {UnreachableTargets} from './unreachable-targets.js';

describe('UnreachableTargets', () => {
	it('tells once that a target is out of reach, and once that it responds again', () => {
		const unreachable = UnreachableTargets.create();
		expect([unreachable.recordFailed('e-1', 'refused', 0), unreachable.recordFailed('e-1', 'refused', 1), unreachable.has('e-1'), unreachable.size]).toEqual([true, false, true, 1]);
		expect([unreachable.recordReached('e-1'), unreachable.recordReached('e-1'), unreachable.has('e-1')]).toEqual([true, false, false]);
	});

	// Guards against overloaded targets that are restricted as cold ones, which adds to the load of the others.
	it('does not take a single probe without a response for a restart', () => {
		const unreachable = UnreachableTargets.create();
		expect([unreachable.recordFailed('e-1', 'silent', 0), unreachable.recordReached('e-1')]).toEqual([false, false]);
		expect([unreachable.recordFailed('e-1', 'silent', 1), unreachable.recordFailed('e-1', 'silent', 2)]).toEqual([false, true]);
	});

	it('forgets targets that are not tried any more', () => {
		const unreachable = UnreachableTargets.create();
		unreachable.recordFailed('e-1', 'refused', 0);
		unreachable.recordFailed('e-2', 'refused', 60_000);
		expect([unreachable.has('e-1'), unreachable.has('e-2')]).toEqual([false, true]);
	});
});
