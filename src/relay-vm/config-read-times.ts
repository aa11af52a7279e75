import type {Ms} from '../clock/index.js';

/**
 * Long-poll duration of configuration reads. A half-open connection is detected after this time, and a member whose
 * leader has lost the store reads it itself after this time and the slack for news: both must end early enough for a
 * change to be applied within 2.5 s of its acknowledgement.
 */
export const configLongPollMs: Ms = 1500;
