import {replayPolicies, type ReplayPolicy} from '../src/replay/index.js';
import {
	BaselineScheduler, leastInFlight, prefixAffinity, roundRobin,
} from './baseline-scheduler.js';

/** Scheduling policies that the benchmark compares. The first is the policy under test; the others are baselines. */
export const policies: readonly ReplayPolicy[] = [
	replayPolicies[0]!,
	{
		name: 'fcfs+least', create: ({clock, targets, random}) => ({scheduler: new BaselineScheduler(clock, targets, leastInFlight(random))}),
	},
	{
		name: 'round-robin', create: ({clock, targets, random}) => ({scheduler: new BaselineScheduler(clock, targets, roundRobin(random))}),
	},
	{
		name: 'prefix', create: ({clock, targets}) => ({scheduler: new BaselineScheduler(clock, targets, prefixAffinity())}),
	},
];
