import {describe, expect, it} from 'vitest';
import {PlanForecast} from './plan-forecast.js';
import {StageDeferral} from './stage-deferral.js';
import type {PlannedStage, StagePlan} from './stage-plan.js';

// A stage with large results beside a chain of three stages; each call takes 255 ms, and 45 ms for its results.
const stages: PlannedStage[] = [
	{
		service: 'archive', after: [], resultBytes: 1_500_000, pieces: 2,
	},
	{
		service: 'archive', after: [], resultBytes: 8000, pieces: 1,
	},
	{
		service: 'press', after: [1], resultBytes: 60_000, pieces: 6,
	},
	{
		service: 'assay', after: [2], resultBytes: 6000, pieces: 10,
	},
];
const plan: StagePlan = {
	attemptId: 'r1', stages, pieceKey: 'k', zone: 'riga-a', priority: 0, callByMs: 2000, deadlineMs: 6000,
};
const forecast = PlanForecast.create(plan, {expectedCallMs: () => 255, expectedWaitMs: () => 0});

describe('StageDeferral', () => {
	// Guards against large results that hold memory while the other stages of their plan are still to run.
	it('starts a short branch when the rest of the long one takes no longer', () => {
		const deferral = StageDeferral.create(stages, forecast);
		expect(deferral.delayMs(0, {now: 0, waitMs: 0})).toBe(450);
		expect(deferral.delayMs(0, {now: 0, waitMs: 200})).toBe(250);
		deferral.start(1, 0);
		expect(deferral.delayMs(0, {now: 200, waitMs: 0})).toBe(250);
		deferral.end(1);
		deferral.start(2, 310);
		expect(deferral.delayMs(0, {now: 310, waitMs: 0})).toBe(150);
		deferral.end(2);
		deferral.start(3, 620);
		expect(deferral.delayMs(0, {now: 620, waitMs: 0})).toBe(0);
	});

	// Guards against a plan that is slowed down although none of its stages has to wait for another branch.
	it('defers no stage of a chain', () => {
		const deferral = StageDeferral.create(stages.slice(1).map(stage => ({...stage, after: stage.after.map(input => input - 1)})), {pathMs: stage => 900 - (300 * stage), stageMs: () => 300});
		expect([0, 1, 2].map(stage => deferral.delayMs(stage, {now: 0, waitMs: 0}))).toEqual([0, 0, 0]);
	});

	// Guards against a wait that never ends because of a rounding error.
	it('does not defer a stage by less than a timer can wait', () => {
		const deferral = StageDeferral.create(stages, forecast);
		expect([deferral.delayMs(0, {now: 0, waitMs: 449.5}), deferral.delayMs(0, {now: 0, waitMs: 448})]).toEqual([0, 2]);
	});

	// Guards against a stage that waits for a longer branch which is overdue or has failed.
	it('defers no stage beyond the expected end of the others', () => {
		const deferral = StageDeferral.create(stages, forecast);
		deferral.start(1, 0);
		expect(deferral.delayMs(0, {now: 10_000, waitMs: 0})).toBe(150);
		for (const stage of [1, 2, 3]) {
			deferral.end(stage);
		}

		expect(deferral.delayMs(0, {now: 10_000, waitMs: 0})).toBe(0);
	});
});
