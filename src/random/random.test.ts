import {expect, test} from 'vitest';
import {Random} from './random.js';

// Guards against consecutive seeds that give nearly the same sequence: a test with a second seed would then check nothing new.
test('the first values of consecutive seeds spread over [0, 1)', () => {
	const firsts = Array.from({length: 1000}, (_, seed) => Random.create(seed).float());
	const mean = firsts.reduce((sum, value) => sum + value, 0) / firsts.length;
	expect(mean).toBeGreaterThan(0.45);
	expect(mean).toBeLessThan(0.55);
	expect(new Set(firsts.map(value => Math.floor(value * 20))).size).toBe(20);
	expect(Random.create(7).float()).toBe(Random.create(7).float());
});
