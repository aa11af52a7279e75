import {expect, test} from 'vitest';
import type {Route} from '../routes/index.js';
import {TimeBudget} from './time-budget.js';

const route: Route = {
	name: 'r', host: 'h', pathPrefix: '/', kind: 'idempotent', timeoutMs: 1000, objectiveMs: 200, priority: 0, services: [], maxAttempts: 2, stages: [], isPublic: false, isResumable: false,
};
const stream: Route = {
	...route, kind: 'stream', timeoutMs: 6000, objectiveMs: 1100, isResumable: true,
};
const head = {waitsMs: 2000, prompt: undefined};

test('ends at the caller\'s deadline or the route\'s time-out, whichever is first', () => {
	expect(TimeBudget.create({route, head, arrivedMs: 100}).deadlineMs).toBe(1100);
	expect(TimeBudget.create({route, head: {...head, waitsMs: 300}, arrivedMs: 100}).deadlineMs).toBe(400);
});

test('leaves time for a second attempt only where one is allowed', () => {
	const budget = TimeBudget.create({route, head, arrivedMs: 0});
	expect(budget.answerWithinMs(0, true)).toBe(150);
	expect(budget.answerWithinMs(0, false)).toBe(1040);
	const once = TimeBudget.create({route: {...route, kind: 'non_idempotent'}, head, arrivedMs: 0});
	expect(once.answerWithinMs(0, true)).toBe(1040);
});

test('leaves stages no longer than callers wait for a first event', () => {
	const budget = TimeBudget.create({route: stream, head: {waitsMs: 6000, prompt: {inputTokens: 5000, maxOutputTokens: 10, parts: []}}, arrivedMs: 0});
	expect(budget.callByMs).toBe(1100 - 160);
	expect(budget.stagesDeadlineMs).toBe(4400 - 160);
});

test('has no time at the very end', () => {
	const budget = TimeBudget.create({route, head, arrivedMs: 0});
	expect([budget.hasTime(980), budget.hasTime(990), budget.leftMs(2000)]).toEqual([true, false, 1]);
});
