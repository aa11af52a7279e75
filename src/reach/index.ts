export {
	ReachWatch, type ProbeableTarget, type ReachMessage, type ReachWatchOptions,
} from './reach-watch.js';
export {TargetReach} from './target-reach.js';
