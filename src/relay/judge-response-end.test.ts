import {expect, it} from 'vitest';
import {
	judgeResponseEnd, requestWaitMs, resetWaitMs, type EndedResponse,
} from './judge-response-end.js';

const large = 1_000_000;
const none: EndedResponse = {
	end: 'connection_end', status: 200, requestBytes: large, reset: 'none', sinceEndMs: 0, sinceAcceptedMs: undefined,
};

// Guards against a part of a response that is passed on as a whole one, and against whole ones that wait or are not passed on.
it.each([
	['has a length, request not accepted', {end: 'length'}, 'whole'],
	['answers a request without a body', {requestBytes: 0, sinceAcceptedMs: 0}, 'whole'],
	['answers a request that arrives with its head', {requestBytes: 8192, sinceAcceptedMs: 0}, 'whole'],
	['was reset in place of an end', {end: 'length', reset: 'instead_of_end'}, 'reset'],
	['was reset behind its end', {reset: 'after_end', sinceEndMs: resetWaitMs, sinceAcceptedMs: resetWaitMs}, 'reset'],
	['reports an error and was reset', {status: 413, reset: 'after_end', sinceAcceptedMs: 0}, 'reset'],
	['has just ended', {sinceAcceptedMs: 0}, 'undecided'],
	['ended long ago, with a request just accepted', {sinceEndMs: resetWaitMs, sinceAcceptedMs: resetWaitMs - 1}, 'undecided'],
	['was not reset since', {sinceEndMs: resetWaitMs, sinceAcceptedMs: resetWaitMs}, 'whole'],
	['was not reset, while the request is written', {sinceEndMs: requestWaitMs - 1}, 'undecided'],
	['was not reset, with a request that is not accepted in time', {sinceEndMs: requestWaitMs}, 'early_end'],
	['was not reset, with a request accepted late', {sinceEndMs: requestWaitMs, sinceAcceptedMs: resetWaitMs}, 'whole'],
	['reports an error, and has just ended', {status: 413, sinceEndMs: resetWaitMs - 1}, 'undecided'],
	['reports an error, with a request not accepted', {status: 413, sinceEndMs: resetWaitMs}, 'whole'],
] as const)('judges a response that %s', (_, known, verdict) => {
	expect(judgeResponseEnd({...none, ...known})).toBe(verdict);
});
