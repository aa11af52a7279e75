import {expect, test} from 'vitest';
import {Random} from './random.js';

// Guards against seeds 1, 2, 3 … that give nearly the same sequence, so that a second seed checks nothing.
test('the first values of neighbouring seeds are spread', () => {
	const firsts = Array.from({length: 1000}, (_, seed) => Random.create(seed).float());
	const mean = firsts.reduce((sum, value) => sum + value, 0) / firsts.length;
	expect(mean).toBeGreaterThan(0.45);
	expect(mean).toBeLessThan(0.55);
	expect(new Set(firsts.map(value => Math.floor(value * 20))).size).toBe(20);
	expect(Random.create(7).float()).toBe(Random.create(7).float());
});
