import fc from 'fast-check';
import {describe, expect, it} from 'vitest';
import {ServiceRetryBudget, type RetrySpend} from './service-retry-budget.js';

const limits = {windowMs: 10_000, ratio: 0.2, slack: 58};

describe('ServiceRetryBudget', () => {
	it('allows its share of the slack plus a fraction of its requests', () => {
		const budget = ServiceRetryBudget.create({limits, share: () => 0.1});
		for (let request = 0; request < 50; request++) {
			budget.recordRequest(100);
		}

		let spent = 0;
		while (budget.canSpend(200) && budget.spend(200)) {
			spent++;
		}

		expect(budget.spend(200)).toBe(false);

		expect(spent).toBe(15);
	});

	it('never exceeds ratio and slack in any window, summed over all budgets', () => {
		const step = fc.record({
			budget: fc.integer({min: 0, max: 2}), waitMs: fc.integer({min: 0, max: 3000}), retries: fc.integer({min: 0, max: 30}), requests: fc.integer({min: 0, max: 5}),
		});
		fc.assert(fc.property(fc.array(step, {maxLength: 60}), steps => {
			const budgets = [0, 1, 2].map(() => ServiceRetryBudget.create({limits, share: () => 1 / 3}));
			const retries: number[] = [];
			const requests: number[] = [];
			let now = 0;
			for (const {budget, waitMs, retries: wanted, requests: count} of steps) {
				now += waitMs;
				for (let request = 0; request < count; request++) {
					budgets[budget]!.recordRequest(now);
					requests.push(now);
				}

				for (let retry = 0; retry < wanted; retry++) {
					if (budgets[budget]!.spend(now)) {
						retries.push(now);
					}
				}
			}

			for (const end of retries) {
				const inWindow = retries.filter(at => at <= end && at > end - limits.windowMs).length;
				// Requests are counted over one bucket more than the window.
				const asked = requests.filter(at => at <= end && at > end - (limits.windowMs * 1.2)).length;
				expect(inWindow).toBeLessThanOrEqual((limits.ratio * asked) + limits.slack);
			}
		}), {seed: 31, numRuns: 300});
	});

	it('allows retries again once the window has passed', () => {
		const budget = ServiceRetryBudget.create({limits, share: () => 1 / 58});
		expect([budget.spend(0), budget.spend(1), budget.spend(9000), budget.spend(11_500)]).toEqual([true, false, false, true]);
	});

	// Guards against retries that reach a service together although they were granted in different windows.
	it('counts reserved retries until they are sent, and then from that moment', () => {
		const budget = ServiceRetryBudget.create({limits, share: () => 10 / 58});
		expect([budget.reserve(0, 8), budget.canSpend(30_000, 3)]).toEqual([true, false]);
		budget.recordSent(30_000, 5);
		budget.release(3);
		expect([budget.canSpend(30_000, 6), budget.canSpend(30_000, 5), budget.canSpend(40_000, 6), budget.canSpend(42_000, 10)]).toEqual([false, true, false, true]);
	});

	it('spends several retries at once, all or none, and tells what it held', () => {
		const spends: RetrySpend[] = [];
		const budget = ServiceRetryBudget.create({
			limits, share: () => 0.1, onSpend(spend) {
				spends.push(spend);
			},
		});
		expect([budget.canSpend(0, 6), budget.spend(0, 6), budget.canSpend(0, 5), budget.spend(0, 5), budget.spend(0)]).toEqual([false, false, true, true, false]);
		expect(spends.map(({isGranted, count, retries}) => ({isGranted, count, retries}))).toEqual([
			{isGranted: false, count: 6, retries: 0}, {isGranted: true, count: 5, retries: 0}, {isGranted: false, count: 1, retries: 5},
		]);
		expect(spends[2]).toMatchObject({requests: 0, slack: limits.slack * 0.1});
	});

	// Guards against a fresh share for each change of the limits: two changes in a window allowed three times the slack.
	it('still counts what was spent under earlier limits', () => {
		const budget = ServiceRetryBudget.create({limits, share: () => 1});
		const spendAll = (now: number) => {
			let spent = 0;
			while (budget.spend(now)) {
				spent++;
			}

			return spent;
		};

		const spent = [spendAll(1000)];
		for (const [now, slack] of [[2000, 60], [3000, 10], [4000, 58], [5000, 61]] as const) {
			budget.setLimits({...limits, slack}, now);
			spent.push(spendAll(now));
		}

		expect(spent).toEqual([58, 2, 0, 0, 1]);
	});

	it('still counts what was spent before the window became longer or shorter', () => {
		const budget = ServiceRetryBudget.create({limits, share: () => 1});
		expect(budget.spend(0, 58)).toBe(true);
		budget.setLimits({...limits, windowMs: 20_000}, 9000);
		// What was spent before the longer window could be counted is unknown until it is over.
		expect([12_000, 19_000, 22_000, 22_999, 23_000].map(now => budget.canSpend(now))).toEqual([false, false, false, false, true]);
		expect(budget.spend(23_000, 58)).toBe(true);
		budget.setLimits({...limits, windowMs: 5000}, 24_000);
		expect([24_000, 28_000, 29_500].map(now => budget.canSpend(now))).toEqual([false, false, true]);
	});

	it('uses the slack only once no retry that it does not know of can be in the window', () => {
		const budget = ServiceRetryBudget.create({limits, share: () => 1, countedSinceMs: 5000});
		expect([5000, 16_999, 17_000].map(now => budget.canSpend(now))).toEqual([false, false, true]);
		for (let request = 0; request < 10; request++) {
			budget.recordRequest(5000);
		}

		expect([budget.canSpend(5000, 2), budget.canSpend(5000, 3)]).toEqual([true, false]);
	});

	it('counts requests for at most a window and retries for more than one', () => {
		const budget = ServiceRetryBudget.create({limits: {...limits, slack: 0}, share: () => 1});
		for (let request = 0; request < 10; request++) {
			budget.recordRequest(250);
		}

		expect([budget.canSpend(10_000, 2), budget.canSpend(10_001)]).toEqual([true, false]);
		const late = ServiceRetryBudget.create({limits, share: () => 1 / 58});
		expect([late.spend(250), late.canSpend(11_000), late.canSpend(11_500)]).toEqual([true, false, true]);
	});
});
