import {expect, it} from 'vitest';
import {judgeClaim} from './judge-claim.js';

// Guards against a target that becomes cold between a reading of its health path and that of its entry.
it.each([
	[{askedMs: undefined, coldMs: 0}, 'open'],
	[{askedMs: 199, coldMs: 0}, 'open'],
	[{askedMs: 200, coldMs: 0}, 'over'],
	[{askedMs: 300, coldMs: 700}, 'confirmed'],
	[{askedMs: 300, coldMs: undefined}, 'confirmed'],
] as const)('judges an entry seen at 200 by %j: %s', (statement, verdict) => {
	expect(judgeClaim(200, statement)).toBe(verdict);
});
