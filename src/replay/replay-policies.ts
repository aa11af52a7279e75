import {FcfsScheduler} from '../teams/index.js';
import type {ReplayPolicy} from './replay-policy.js';

/** Policies that `guavamill replay` knows by name. */
export const replayPolicies: readonly ReplayPolicy[] = [
	{name: 'fcfs', create: ({clock, targets}) => ({scheduler: FcfsScheduler.create({clock, targets})})},
];
