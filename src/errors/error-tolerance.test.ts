import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {ErrorTolerance} from './error-tolerance.js';

/** Records an error each 100 ms and returns the time of the first one after which the process does not go on. */
async function endOf({errors, arriving, answered, everyMs = 100}: {errors: number; arriving: number; answered: number; everyMs?: number}): Promise<number | undefined> {
	const clock = ManualClock.create();
	const progress = {arrived: 0, answered: 0};
	const tolerance = ErrorTolerance.create({
		clock, maxErrors: 20, windowMs: 10_000, minRequests: 10, progress: () => ({...progress}),
	});
	for (let each = 0; each < errors; each++) {
		if (!tolerance.isTolerable()) {
			return clock.now();
		}

		progress.arrived += arriving;
		progress.answered += answered;
		await clock.advance(everyMs);
	}

	return undefined;
}

// Guards against a process that one cause ends with all its requests, since it touches more than 20 of them: the 21st
// error within 10 s did so.
test('a process goes on after any number of errors while requests are answered, or none arrive', async () => {
	expect(await endOf({
		errors: 10_000, arriving: 0, answered: 0, everyMs: 0,
	})).toBe(undefined);
	expect(await endOf({
		errors: 10_000, arriving: 1, answered: 0, everyMs: 0,
	})).toBe(undefined);
	expect(await endOf({errors: 1000, arriving: 2, answered: 1})).toBe(undefined);
	expect(await endOf({errors: 1000, arriving: 0, answered: 0})).toBe(undefined);
	expect(await endOf({errors: 1000, arriving: 0.05, answered: 0})).toBe(undefined);
});

test('a process goes on after single errors, whatever becomes of its requests', async () => {
	expect(await endOf({
		errors: 100, arriving: 5, answered: 0, everyMs: 600,
	})).toBe(undefined);
	expect(await endOf({
		errors: 100, arriving: 50, answered: 0, everyMs: 25_000,
	})).toBe(undefined);
});

// Guards against a process that goes on although it answers no request.
test('a process ends when errors go on while requests arrive and none is answered', async () => {
	expect(await endOf({errors: 1000, arriving: 1, answered: 0})).toBe(10_000);
	expect(await endOf({errors: 1000, arriving: 0.2, answered: 0})).toBe(10_000);
});
