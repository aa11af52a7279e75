import type {Ms} from '../clock/index.js';
import type {ColdStart} from '../routes/index.js';

/**
 * Age that an entry may have when it is read: targets write theirs about every 1.2 s, and entry VMs read them every 0.8 s.
 * What a target has told or shown may therefore have begun that much earlier, or be seen that much later elsewhere.
 */
export const maxInformationAgeMs: Ms = 2000;

/**
 * What tells that a target is cold: its entry, its health path, a new start, responses after it was out of reach, or the
 * end of the evacuation of its zone.
 */
export type ColdSource = 'entry' | 'health' | 'start' | 'reachable_again' | 'evacuation';

/** Evidence that a target may be cold, with the time that it states or for which a peer treats it as cold. */
export interface ColdEvidence {
	readonly source: ColdSource;
	readonly remainingMs?: Ms | undefined;
}

/**
 * Returns for how long a target is treated as cold, in ms from the time at which the evidence is seen; 0 if it is warm.
 * Times that the target states are limited to the longest that its service declares, since later statements prolong them.
 * Without a declared cold start, only statements count.
 *
 * @example
 * judgeCold({source: 'start'}, {durationMs: 3000, perSecond: 11}); // 5000
 */
export function judgeCold({remainingMs}: ColdEvidence, coldStart: ColdStart | undefined): Ms {
	const longestMs = coldStart ? coldStart.durationMs + maxInformationAgeMs : Infinity;
	if (remainingMs === undefined) {
		return coldStart ? longestMs : 0;
	}

	return Math.min(longestMs, Math.max(0, remainingMs));
}
