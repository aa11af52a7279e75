import {describe, expect, it} from 'vitest';
import {planCall, type PlannableJob} from './call-plan.js';

const candidate = (id: string, pieces: number, fields: Partial<PlannableJob> = {}): PlannableJob => ({
	job: {
		id, attemptId: id, stage: 0, pieces, key: 'k', inputs: [], resultBytes: 1_500_000, transfers: [], priority: 0, startByMs: 0, deadlineMs: 0, isCommitted: false,
	},
	pieces,
	isStarted: false,
	isLate: false,
	isSuspect: false,
	inCall: 0,
	...fields,
});
const room = {
	batch: 12, freeMb: 27, reservedMb: 13.5, isEmpty: true, mayBeLate: true,
};
const partsOf = (jobs: PlannableJob[], fields: Partial<typeof room> = {}) => planCall(jobs, {...room, ...fields}).parts.map(({job: {id}, pieces}) => [id, pieces]);

describe('planCall', () => {
	// Guards against late jobs that are split by the reserve although nothing else uses the target, and whose parts then hold its memory.
	it('puts a late job whole into the call of an empty target, and leaves the reserve free otherwise', () => {
		const late = candidate('late', 10, {isLate: true});
		expect(partsOf([late])).toEqual([['late', 10]]);
		expect(partsOf([late], {isEmpty: false})).toEqual([]);
		expect(partsOf([candidate('first', 2), late])).toEqual([['first', 2]]);
		expect(partsOf([late], {mayBeLate: false})).toEqual([]);
	});

	it('splits a job only if it exceeds the batch or the memory of an empty target', () => {
		expect(partsOf([candidate('a', 20)])).toEqual([['a', 12]]);
		expect(partsOf([candidate('a', 10)], {freeMb: 9})).toEqual([['a', 6]]);
		expect(partsOf([candidate('a', 10), candidate('b', 6)], {freeMb: 9, isEmpty: false})).toEqual([['b', 6]]);
	});
});
