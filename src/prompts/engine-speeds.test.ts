import {describe, expect, it} from 'vitest';
import {Random} from '../random/index.js';
import {EngineSpeeds} from './engine-speeds.js';

/** Measures `count` prompts at engines that take `slowness[engine]` times as long as usual, one every 10 ms. */
function measureAll(speeds: EngineSpeeds, slowness: readonly number[], {count = 600, tokens = (random: Random) => random.integer(300, 9000)} = {}): number {
	const random = Random.create(5);
	let now = 0;
	for (let prompt = 0; prompt < count; prompt++) {
		now += 10;
		const engine = prompt % slowness.length;
		const length = tokens(random);
		const tookMs = (25 + (length / 40)) * slowness[engine]! * (0.9 + (0.2 * random.float()));
		speeds.observe(engine, speeds.measure({tookMs, tokens: length}), now);
	}

	return now;
}

describe('EngineSpeeds', () => {
	it('find engines that are 2.4 times slower than others, and the prefill rate, without knowing either', () => {
		const speeds = EngineSpeeds.create();
		const now = measureAll(speeds, [0.7, 0.7, 1.7]) + 3000;
		const [first, second, third] = [0, 1, 2].map(engine => speeds.slowness(engine, now));
		expect(third! / first!).toBeGreaterThan(2);
		expect(third! / first!).toBeLessThan(2.7);
		expect(first! / second!).toBeCloseTo(1, 0);
		expect(speeds.tokensPerMs).toBeGreaterThan(30);
		expect(speeds.tokensPerMs).toBeLessThan(50);
	});

	// Guards against a choice that differs between equal engines because some get longer prompts than others.
	it('find equal engines equal, also if one gets long prompts only', () => {
		const speeds = EngineSpeeds.create();
		const now = measureAll(speeds, [1, 1]);
		for (let prompt = 0; prompt < 50; prompt++) {
			speeds.observe(2, speeds.measure({tookMs: 25 + (20_000 / 40), tokens: 20_000}), now);
		}

		for (const engine of [0, 1, 2]) {
			expect(Math.abs(speeds.slowness(engine, now + 3000) - 1)).toBeLessThan(0.15);
		}
	});

	it('find an engine slow at once after a late first event, and usual again within 2 s', () => {
		const speeds = EngineSpeeds.create();
		const now = measureAll(speeds, [1, 1]);
		speeds.observe(0, speeds.measure({tookMs: 2.5 * 125, tokens: 4000}), now);
		expect(speeds.slowness(0, now)).toBeGreaterThan(2);
		expect(speeds.slowness(0, now + 2000)).toBeLessThan(1.25);
		expect(speeds.ageMs(0, now + 2000)).toBe(2000);
	});

	it('know nothing of engines without observations, and no rate from prompts of one length', () => {
		const speeds = EngineSpeeds.create();
		expect([speeds.slowness(9, 0), speeds.ageMs(9, 0)]).toEqual([1, undefined]);
		measureAll(speeds, [1], {tokens: () => 2000});
		expect(speeds.tokensPerMs).toBe(50);
	});
});
