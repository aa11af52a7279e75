import {expect, it} from 'vitest';
import {isCutByReset} from './is-cut-by-reset.js';

// Guards against a part of a response that is passed on as a whole one, and against whole ones that are not passed on.
it.each([
	{
		reset: 'none', end: 'connection_end', requestBytes: 10, expected: false,
	},
	{
		reset: 'instead_of_end', end: 'connection_end', requestBytes: 0, expected: true,
	},
	{
		reset: 'instead_of_end', end: 'length', requestBytes: 10, expected: true,
	},
	{
		reset: 'after_end', end: 'connection_end', requestBytes: 10, expected: true,
	},
	{
		reset: 'after_end', end: 'connection_end', requestBytes: 0, expected: false,
	},
	{
		reset: 'after_end', end: 'length', requestBytes: 10, expected: false,
	},
] as const)('judges a reset ($reset) behind a body that ended by $end for a request of $requestBytes bytes', ({reset, end, requestBytes, expected}) => {
	expect(isCutByReset(reset, {end, requestBytes})).toBe(expected);
});
