import {expect, test} from 'vitest';
import {ManualClock} from '../clock/index.js';
import {RetryBudget} from './retry-budget.js';

function spendAll(budget: RetryBudget, team: string): number {
	let spent = 0;
	while (budget.spend(team, 'pool')) {
		spent++;
	}

	return spent;
}

// Guards against retry storms, and against one team that spends the budget of another.
test('retries are a fraction of the successes of the team and pool', () => {
	const budget = RetryBudget.create({clock: ManualClock.create(), ratio: () => 0.1});
	expect(spendAll(budget, 'small')).toBe(16);
	for (let success = 0; success < 205; success++) {
		budget.earn('large', 'pool');
	}

	expect(spendAll(budget, 'large')).toBe(36);
	expect(budget.spend('small', 'pool')).toBe(false);
	expect(budget.spend('large', 'other')).toBe(true);
});

// Guards against a team with little traffic that can never retry, and against savings without bound.
test('a floor refills with time and savings are bounded', async () => {
	const clock = ManualClock.create();
	const budget = RetryBudget.create({clock, ratio: () => 1});
	expect(spendAll(budget, 'small')).toBe(16);
	await clock.advance(2000);
	expect(spendAll(budget, 'small')).toBe(1);
	await clock.advance(3_600_000);
	expect(spendAll(budget, 'small')).toBe(16);
	for (let success = 0; success < 10_000; success++) {
		budget.earn('small', 'pool');
	}

	expect(spendAll(budget, 'small')).toBe(50);
});
