import type {Ms} from '../clock/index.js';
import type {StagePoolLimits} from '../routes/index.js';
import type {StageTargetState} from './stage-target-state.js';

/** Multiple of the expected call time from which a target is considered slow. */
const slowdownThreshold = 2;

/** Whether a target is too slow for a job to wait for it. */
export function isSlow(target: StageTargetState, now: Ms): boolean {
	return target.slowdown(now) >= slowdownThreshold;
}

/**
 * Whether a slow target should get no call because the faster targets would finish the whole backlog before it finished
 * one call.
 *
 * @example
 * shouldSkipSlowTarget(target, others, {backlog: 12, limits, now});
 */
export function shouldSkipSlowTarget(target: StageTargetState, others: readonly StageTargetState[], {backlog, limits, now}: {backlog: number; limits: StagePoolLimits; now: Ms}): boolean {
	const slowdown = target.slowdown(now);
	const faster = others.filter(other => other.isUsable(now) && other.slowdown(now) < slowdown);
	if (!isSlow(target, now) || faster.length === 0) {
		return false;
	}

	const callMs = limits.callMs + (limits.pieceMs * limits.batch);
	const rounds = Math.ceil(backlog / limits.batch / faster.length);
	const fasterFinishMs = Math.min(...faster.map(other => other.idleAt(now) + (rounds * callMs * other.slowdown(now))));
	return fasterFinishMs < now + (callMs * slowdown);
}
