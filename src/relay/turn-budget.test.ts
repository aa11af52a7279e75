import {expect, it} from 'vitest';
import {TurnBudget} from './turn-budget.js';

it('is used up after some ms of one turn, and lets those that wait go on in the next ones', () => {
	let nowMs = 0;
	const clock = {now: () => nowMs};
	const turns: Array<() => void> = [];
	const budget = TurnBudget.create({
		clock, defer(fn) {
			turns.push(fn);
		},
	});
	budget.begin();
	nowMs += 4;
	expect(budget.isUsedUp()).toBe(false);
	nowMs += 1;
	expect(budget.isUsedUp()).toBe(true);
	const calls: string[] = [];
	for (const name of ['a', 'b']) {
		budget.onLaterTurn(() => {
			calls.push(name);
			nowMs += 30;
		});
	}

	expect([turns.length, calls]).toEqual([1, []]);
	turns.shift()!();
	expect([budget.isUsedUp(), turns.length, calls]).toEqual([true, 1, ['a']]);
	turns.shift()!();
	expect([turns.length, calls]).toEqual([1, ['a', 'b']]);
	turns.shift()!();
	expect([budget.isUsedUp(), turns.length]).toEqual([false, 0]);
});
