import type {Ms} from '../clock/index.js';

/** Longest time for which one response holds a target back. A target that names more gets requests again after this time, so that a mistaken value does not remove it for good. */
export const maxHoldMs: Ms = 3_600_000;
/** Part of a hold by which entry VMs and callers extend it at random, so that they do not return together, and its bound. */
const spreadShare = 0.2;
const maxSpreadMs: Ms = 1000;

/**
 * Returns the time for which a target that asks for no requests for `retryAfterMs` is held back, with a random extension;
 * `draw` is in [0, 1). 0 for a time that is over, and `undefined` for one that is no time.
 *
 * @example
 * holdDuration(2000, random.float()); // 2000 to 2400
 */
export function holdDuration(retryAfterMs: Ms, draw: number): Ms | undefined {
	if (Number.isNaN(retryAfterMs)) {
		return undefined;
	}

	return retryAfterMs <= 0 ? 0 : spreadReturn(Math.min(retryAfterMs, maxHoldMs), draw);
}

/**
 * Returns a delay of at least `delayMs` that differs from caller to caller; `draw` is in [0, 1).
 *
 * @example
 * spreadReturn(500, random.float()); // 500 to 600
 */
export function spreadReturn(delayMs: Ms, draw: number): Ms {
	return delayMs + (draw * Math.min(maxSpreadMs, delayMs * spreadShare));
}
