import type {Ms} from '../../src/clock/index.js';

/**
 * Returns the most of some times that lie in a window of a length that begins with one of them; 0 without any.
 *
 * @example
 * countPeak([0, 400, 1100], 1000); // 2
 */
export function countPeak(timesMs: readonly Ms[], windowMs: Ms): number {
	return Math.max(0, ...timesMs.map(fromMs => timesMs.filter(atMs => atMs >= fromMs && atMs < fromMs + windowMs).length));
}
