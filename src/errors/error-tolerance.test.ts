import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {ErrorTolerance} from './error-tolerance.js';

// Guards against one malformed message that ends a process with all its requests, and against a process that goes on
// although every request fails.
test('a process goes on after single errors and ends after many in a short time', async () => {
	const clock = ManualClock.create();
	const tolerance = ErrorTolerance.create({clock, maxErrors: 3, windowMs: 1000});
	const verdicts: boolean[] = [];
	for (const pauseMs of [0, 600, 600, 600, 100, 100, 100]) {
		await clock.advance(pauseMs);
		verdicts.push(tolerance.isTolerable());
	}

	expect(verdicts).toEqual([true, true, true, true, true, false, false]);
});
