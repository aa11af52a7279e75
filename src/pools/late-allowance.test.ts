import {expect, it} from 'vitest';
import {lateAllowance} from './late-allowance.js';

// Guards against a backlog of late jobs that is worked off at half of the rate while no job is on time.
it('leaves to on-time jobs what they have used recently, at most half', () => {
	expect(lateAllowance(10, undefined)).toEqual({targets: 5, reservedMemoryShare: 0.5});
	expect(lateAllowance(10, 0)).toEqual({targets: 9, reservedMemoryShare: 0.1});
	expect(lateAllowance(10, 0.9)).toEqual({targets: 5, reservedMemoryShare: 0.5});
	expect(lateAllowance(1, 0.9).targets).toBe(1);
});
