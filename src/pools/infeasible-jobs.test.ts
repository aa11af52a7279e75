import {expect, test} from 'vitest';
import {unreachedJobs, type LateJob} from './infeasible-jobs.js';

const late = (id: string, deadlineMs: number, fields: Partial<LateJob> = {}): LateJob => ({
	job: {id, deadlineMs}, pieces: 10, isCalling: false, ...fields,
});

// Pattern: a burst is over its objective and waits behind on-time work for what capacity is left.
test('the earliest deadlines are served first, and what spare capacity does not reach is told with its excess', () => {
	const jobs = [late('third', 1100), late('first', 700), late('second', 800)];
	expect(unreachedJobs(jobs, {now: 0, perMs: 0.02, callMs: 200})).toEqual([{id: 'third', excessMs: 100}]);
	expect(unreachedJobs(jobs, {now: 0, perMs: 1, callMs: 200})).toEqual([]);
});

test('a job that is left out takes no capacity, and one in a call is kept', () => {
	const jobs = [late('gone', 100), late('calling', 150, {isCalling: true}), late('next', 800)];
	expect(unreachedJobs(jobs, {now: 0, perMs: 0.02, callMs: 200})).toEqual([{id: 'gone', excessMs: 100}]);
});
