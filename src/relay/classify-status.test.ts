import {expect, it} from 'vitest';
import {classifyStatus} from './classify-status.js';

// Guards against a status of a target that its caller cannot understand.
it.each([[0, 'invalid'], [99, 'invalid'], [100, 'informational'], [199, 'informational'], [200, 'final'], [599, 'final'], [600, 'invalid'], [999, 'invalid'], [Number.NaN, 'invalid']] as const)('classifies %d as %s', (status, expected) => {
	expect(classifyStatus(status)).toBe(expected);
});
