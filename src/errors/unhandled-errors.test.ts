import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {silentLoggerFactory} from '../logging/index.js';
import {UnhandledErrors} from './unhandled-errors.js';

function create() {
	const clock = ManualClock.create();
	const lines: Array<Record<string, unknown>> = [];
	const errors = UnhandledErrors.create({
		clock,
		logger: () => ({
			...silentLoggerFactory('platform'), error(message, fields = {}) {
				lines.push({message, ...fields});
			},
		}),
	});
	return {clock, lines, errors};
}

function failHere(text: string): Error {
	return new Error(text);
}

// Guards against a log that one cause fills with the same stack for each request that it touches.
test('the first error of a place is logged with its stack, further ones by their number', async () => {
	const {clock, lines, errors} = create();
	for (let each = 0; each < 100; each++) {
		errors.record(failHere(`request ${each}`));
	}

	expect(lines).toEqual([expect.objectContaining({
		error: 'request 0', stack: expect.stringContaining('failHere'), errors: 1, total: 1,
	})]);
	const place = errors.record(failHere('last'));
	await clock.advance(1000);
	expect(place).toMatch(/^failHere unhandled-errors\.test\.ts:\d+:\d+$/);
	expect(lines[1]).toEqual({
		message: 'An error was not handled; the process goes on.', place, error: 'last', errors: 100, total: 101,
	});
	await clock.advance(10_000);
	expect(lines).toHaveLength(2);
	errors.record(new TypeError('elsewhere'));
	expect(lines).toHaveLength(3);
	expect(Object.values(errors.counts)).toEqual([101, 1]);
});

// Guards against a handler of unhandled errors that itself throws, which ends the process with status 7.
test('whatever is thrown is recorded', () => {
	const {lines, errors} = create();
	const unreadable = Object.defineProperty(new Error('hidden'), 'message', {
		get() {
			throw new Error('unreadable');
		},
	});
	for (const thrown of [undefined, null, 'text', 7, Object.create(null), unreadable, Symbol('s'), {message: 'no error'}]) {
		errors.record(thrown);
	}

	expect(lines.map(({error}) => error)).toEqual(['undefined', 'null', 'text', '7', 'a value without text', 'Symbol(s)', '[object Object]']);
});

test('the number of places is bounded', () => {
	const {errors} = create();
	for (let each = 0; each < 1000; each++) {
		errors.record(`text ${each}`);
	}

	expect(Object.keys(errors.counts)).toHaveLength(51);
	expect(errors.counts.other).toBe(950);
});
