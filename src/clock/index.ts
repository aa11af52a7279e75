export type {CancelTimer, Clock, Ms} from './clock.js';
export {ManualClock} from './manual-clock.js';
export {maxTimerMs, SystemClock} from './system-clock.js';
