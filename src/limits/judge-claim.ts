import type {Ms} from '../clock/index.js';

/** Response of the health path of a target: when it was asked, if known, and for how much longer the target says that it is cold. */
export interface HealthStatement {
	readonly askedMs: Ms | undefined;
	/** `undefined` if it says nothing. */
	readonly coldMs: Ms | undefined;
}

/** What a health path tells about a claim: nothing, that the cold phase goes on, or that it is over. */
export type ClaimVerdict = 'open' | 'confirmed' | 'over';

/**
 * Judges what an entry of a complete list claims: that its target is cold. Entries do not say when they were written;
 * those that were written before the list was read, or have come back with a restored store, may be older than the cold
 * phase. A health path that was asked after the entry was seen is the later statement. A target without such statements
 * counts as its entry says.
 *
 * @example
 * judgeClaim(200, {askedMs: 500, coldMs: 0}); // 'over'
 */
export function judgeClaim(seenMs: Ms, {askedMs, coldMs}: HealthStatement): ClaimVerdict {
	if (askedMs === undefined || askedMs < seenMs) {
		return 'open';
	}

	return coldMs === 0 ? 'over' : 'confirmed';
}
