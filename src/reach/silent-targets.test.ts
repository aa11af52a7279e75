import {expect, it} from 'vitest';
import {SilentTargets} from './silent-targets.js';

// Guards against a cut that is found only once attempts fail, and against probes for one target that works on several requests.
it('suspects a cut once two targets have not responded in time', () => {
	const silent = SilentTargets.create();
	silent.begin('a', 100);
	silent.begin('a', 120);
	expect(silent.nextSuspicionMs()).toBeUndefined();
	const wait = silent.begin('b', 150);
	expect(silent.nextSuspicionMs()).toBe(450);
	silent.end(wait);
	expect([silent.nextSuspicionMs(), [...silent.targets]]).toEqual([undefined, ['a']]);
	// An engine with a long prompt is expected to respond late.
	silent.begin('c', 1000);
	expect(silent.nextSuspicionMs()).toBe(1300);
});

// Guards against probes while targets just take long: a response of any target shows that they can be reached.
it('suspects nothing for a time after a response of any target, and for longer after a suspicion', () => {
	const silent = SilentTargets.create();
	silent.begin('a', 100);
	silent.begin('b', 100);
	silent.recordReached(390);
	expect(silent.nextSuspicionMs()).toBe(690);
	silent.recordSuspicion(690);
	silent.recordReached(700);
	expect(silent.nextSuspicionMs()).toBe(2690);
});
