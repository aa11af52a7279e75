import type {Ms} from '../clock/index.js';

/** Longest time for which a reply of a peer denies a target. The lowest rate of permits is one in 10 s; where the next one takes longer, the coordinator is asked once more. */
const maxDenialMs: Ms = 10_000;

/**
 * Bounds the time for which a peer denies a target, so that a faulty peer cannot take it out of use for longer.
 *
 * @example
 * boundDenial(1e9); // 10000
 */
export function boundDenial(retryAfterMs: Ms): Ms {
	return Math.min(retryAfterMs, maxDenialMs);
}
