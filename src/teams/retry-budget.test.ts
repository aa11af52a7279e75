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

// Guards against retry storms, and against a team that spends the budget of another.
test('retries are limited to a fraction of the successes of the team and pool', () => {
	const budget = RetryBudget.create({clock: ManualClock.create(), ratio: () => 0.1});
	expect(spendAll(budget, 'small')).toBe(3);
	for (let success = 0; success < 205; success++) {
		budget.earn('large', 'pool');
	}

	expect(spendAll(budget, 'large')).toBe(23);
	expect(budget.spend('small', 'pool')).toBe(false);
	expect(budget.spend('large', 'other')).toBe(true);
});

// Guards against a team with little traffic that can never retry, and against an unbounded balance.
test('the balance refills to its floor over time and is bounded', async () => {
	const clock = ManualClock.create();
	const budget = RetryBudget.create({clock, ratio: () => 1});
	expect(spendAll(budget, 'small')).toBe(3);
	await clock.advance(2000);
	expect(spendAll(budget, 'small')).toBe(1);
	await clock.advance(3_600_000);
	expect(spendAll(budget, 'small')).toBe(3);
	for (let success = 0; success < 10_000; success++) {
		budget.earn('small', 'pool');
	}

	expect(spendAll(budget, 'small')).toBe(50);
});

// Guards against requests that fail with a lost target because the budget of a team with little traffic does not cover
// the target's calls.
test('the floor covers the calls of a lost target', () => {
	const budget = RetryBudget.create({clock: ManualClock.create(), ratio: () => 0.1, floor: () => 16});
	expect(spendAll(budget, 'small')).toBe(16);
});
