import {expect, it} from 'vitest';
import {PlanForecast} from './plan-forecast.js';
import type {StagePlan} from './stage-plan.js';

/** Plan whose stages each take the results of all that precede them. */
function densePlan(stages: number): StagePlan {
	return {
		attemptId: 'r1', stages: Array.from({length: stages}, (_, stage) => ({
			service: 'archive', after: Array.from({length: stage}, (_unused, before) => before), resultBytes: 1, pieces: 1,
		})), pieceKey: 'k', zone: 'riga-a', priority: 0, callByMs: 1000, deadlineMs: 4000,
	};
}

// Guards against a plan that holds up the process: each path through its stages was walked, 2 to the number of stages.
it('forecasts a plan of 50 stages that each take the results of all before', () => {
	const forecast = PlanForecast.create(densePlan(50), {expectedCallMs: () => 55, expectedWaitMs: () => 10});
	expect(forecast.totalMs).toBe(5000);
	expect(forecast.predictMs(1000)).toBe(5010);
	expect(forecast.pathMs(49)).toBe(100);
});

it('cannot forecast a plan with a stage that waits for itself, or for one that it lacks', () => {
	const times = {expectedCallMs: () => 55, expectedWaitMs: () => 10};
	const stage = {service: 'archive', resultBytes: 1, pieces: 1};
	for (const after of [[0], [7]]) {
		expect(() => PlanForecast.create({...densePlan(1), stages: [{...stage, after}]}, times).predictMs(1000)).toThrow('Cannot forecast a plan');
	}

	expect(() => PlanForecast.create({...densePlan(1), stages: [{...stage, after: [1]}, {...stage, after: [0]}]}, times).totalMs).toThrow('Cannot forecast a plan');
});
