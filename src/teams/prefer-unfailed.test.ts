import {expect, test} from 'vitest';
import {preferUnfailed} from './prefer-unfailed.js';

const prefer = (candidates: readonly string[], failed: readonly string[]) => preferUnfailed(candidates, failed, name => name);

// Guards against attempts that alternate between two lost targets while a third is sound.
test('leaves out every target that failed', () => {
	expect(prefer(['a', 'b', 'c'], ['a', 'b'])).toEqual(['c']);
});

test('takes an earlier one again when all have failed, and the latest when there is no other', () => {
	expect(prefer(['a', 'b'], ['a', 'b'])).toEqual(['a']);
	expect(prefer(['a'], ['a'])).toEqual(['a']);
	expect(prefer(['a', 'b'], [])).toEqual(['a', 'b']);
});
