import {FairScheduler, FcfsScheduler} from '../teams/index.js';
import type {ReplayPolicy} from './replay-policy.js';

/** Policies that `guavamill replay` offers by name. The first one is the policy of production entry VMs. */
export const replayPolicies: readonly ReplayPolicy[] = [
	{
		name: 'fair',
		create(context) {
			const scheduler = FairScheduler.create(context);
			return {
				scheduler,
				localWork: () => scheduler.localDigest().work,
				prefixIndex: scheduler.prefixIndex,
			};
		},
	},
	{name: 'fcfs', create: ({clock, targets}) => ({scheduler: FcfsScheduler.create({clock, targets})})},
];
