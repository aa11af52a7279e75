import {FairScheduler, FcfsScheduler} from '../teams/index.js';
import type {ReplayPolicy} from './replay-policy.js';

/** Policies that `guavamill replay` knows by name; the first one is what entry VMs run. */
export const replayPolicies: readonly ReplayPolicy[] = [
	{
		name: 'fair',
		create(parts) {
			const scheduler = FairScheduler.create(parts);
			return {
				scheduler,
				work: () => scheduler.localDigest().work,
				index: scheduler.prefixIndex,
			};
		},
	},
	{name: 'fcfs', create: ({clock, targets}) => ({scheduler: FcfsScheduler.create({clock, targets})})},
];
