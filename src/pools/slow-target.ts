import type {Ms} from '../clock/index.js';
import type {StagePoolLimits} from '../routes/index.js';
import type {StageTargetState} from './stage-target-state.js';

/** A target that takes this multiple of the expected time is slow. */
const slowFactor = 2;

/** True when a target is too slow to be waited for. */
export function isSlow(target: StageTargetState, now: Ms): boolean {
	return target.slowness(now) >= slowFactor;
}

/**
 * True when a slow target should get no call, since the faster ones would finish everything that waits sooner.
 *
 * @example
 * isLeftForFaster(target, others, {backlog: 12, limits, now});
 */
export function isLeftForFaster(target: StageTargetState, others: readonly StageTargetState[], {backlog, limits, now}: {backlog: number; limits: StagePoolLimits; now: Ms}): boolean {
	const slowness = target.slowness(now);
	const faster = others.filter(other => other.isUsable(now) && other.slowness(now) < slowness);
	if (!isSlow(target, now) || faster.length === 0) {
		return false;
	}

	const callMs = limits.callMs + (limits.itemMs * limits.batch);
	const rounds = Math.ceil(backlog / limits.batch / faster.length);
	const othersFinish = Math.min(...faster.map(other => other.freeAt(now) + (rounds * callMs * other.slowness(now))));
	return othersFinish < now + (callMs * slowness);
}
