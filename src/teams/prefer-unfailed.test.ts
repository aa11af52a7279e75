import {expect, test} from 'vitest';
import {preferUnfailed} from './prefer-unfailed.js';

const prefer = (candidates: readonly string[], failed: readonly string[]) => preferUnfailed(candidates, failed, name => name);

// Guards against attempts that alternate between two lost targets while a third is healthy.
test('excludes all failed targets', () => {
	expect(prefer(['a', 'b', 'c'], ['a', 'b'])).toEqual(['c']);
});

test('reuses an earlier failed target when all have failed, and the latest when it is the only one', () => {
	expect(prefer(['a', 'b'], ['a', 'b'])).toEqual(['a']);
	expect(prefer(['a'], ['a'])).toEqual(['a']);
	expect(prefer(['a', 'b'], [])).toEqual(['a', 'b']);
});
