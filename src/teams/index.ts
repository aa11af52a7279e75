export {AcquireError} from './acquire-error.js';
export {FcfsScheduler} from './fcfs-scheduler.js';
export {
	emptyZoneView, type TeamWork, type ZoneDigest, type ZoneView,
} from './zone-view.js';
export type {
	AcquireFailure, AdmissionDecision, AttemptResult, Grant, RequestEstimate, Scheduler, StageWork,
} from './scheduler.js';
