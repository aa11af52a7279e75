export {nextRetryDelay, type RetrySchedule} from './next-retry-delay.js';
export {retry, type FailedTry, type RetryOptions} from './retry.js';
