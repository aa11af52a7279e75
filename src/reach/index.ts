export {
	ReachWatch, type ProbeableTarget, type ReachMessage, type ReachWatchOptions,
} from './reach-watch.js';
export {LeaderStandby, type LeaderStandbyOptions} from './leader-standby.js';
export {TargetReach, type TargetFailure} from './target-reach.js';
