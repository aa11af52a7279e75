export {AcquireError} from './acquire-error.js';
export {Admission, type PoolLoad, type StageForecast} from './admission.js';
export {FairQueue, type QueuedItem} from './fair-queue.js';
export {FairScheduler, type FairSchedulerOptions} from './fair-scheduler.js';
export {FcfsScheduler} from './fcfs-scheduler.js';
export {
	emptyZoneView, type TeamWork, type ZoneDigest, type ZoneView,
} from './zone-view.js';
export type {
	AcquireFailure, AdmissionDecision, AdmissionRequest, AttemptResult, Grant, Scheduler, StageWork,
} from './scheduler.js';
export {RetryBudget} from './retry-budget.js';
export {ServiceTimes, type ServiceTimeRatios} from './service-times.js';
export {TeamShares} from './team-shares.js';
export {ZoneLoad, type PeerWork} from './zone-load.js';
export {preferUnfailed} from './prefer-unfailed.js';
