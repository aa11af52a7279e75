export {RateSchedule, type Reservation} from './rate-schedule.js';
export {TargetLimits, type LimitsMesh, type TargetLimitsOptions} from './target-limits.js';
