import {expect, it} from 'vitest';
import type {Ms} from '../clock/index.js';
import {TurnBudget} from './turn-budget.js';

it('is used up after some ms of one turn, and lets those that wait go on one after the other, with rests between', () => {
	let nowMs = 0;
	const turns: Array<() => void> = [];
	const rests: Array<{restMs: Ms; fn: () => void}> = [];
	const budget = TurnBudget.create({
		clock: {
			now: () => nowMs,
			after(restMs, fn) {
				rests.push({restMs, fn});
				return () => undefined;
			},
		},
		defer(fn) {
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

	turns.shift()!();
	expect([rests[0]!.restMs, budget.isUsedUp(), calls]).toEqual([10, true, []]);
	rests.shift()!.fn();
	expect([budget.isUsedUp(), calls]).toEqual([true, ['a']]);
	turns.shift()!();
	expect(rests[0]!.restMs).toBe(50);
	rests.shift()!.fn();
	expect(calls).toEqual(['a', 'b']);
	turns.shift()!();
	expect([budget.isUsedUp(), turns.length, rests.length]).toEqual([false, 0, 0]);
});
