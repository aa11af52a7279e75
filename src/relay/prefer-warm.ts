import type {RelayTarget} from '../registry/index.js';

/** What the preference depends on. */
export interface PreferWarmOptions {
	readonly isCold: (target: RelayTarget) => boolean;
	/** Whether there is no permit for a cold target. */
	readonly isDenied: (target: RelayTarget) => boolean;
	/** Whether a request would be sent to the target: it was not tried and is not avoided. */
	readonly isCandidate: (target: RelayTarget) => boolean;
}

/**
 * Returns the warm targets if a request would be sent to one of them, else also the cold ones for which there may be a
 * permit.
 *
 * @example
 * preferWarm(targets, {isCold, isDenied, isCandidate});
 */
export function preferWarm(targets: readonly RelayTarget[], {isCold, isDenied, isCandidate}: PreferWarmOptions): readonly RelayTarget[] {
	// Most services have no cold targets.
	if (!targets.some(target => isCold(target))) {
		return targets;
	}

	const warm = targets.filter(target => !isCold(target));
	return warm.some(target => isCandidate(target)) ? warm : targets.filter(target => !isCold(target) || !isDenied(target));
}
