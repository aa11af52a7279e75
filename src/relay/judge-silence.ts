import type {Ms} from '../clock/index.js';

/** Interval at which a silent target that cannot be left is judged again, since another one may have become usable. */
const replaceCheckMs: Ms = 500;

/** Times without progress that an attempt is allowed. */
export interface SilenceLimits {
	/** Time after which the target is probed; again each time the silence has doubled. `undefined` for never. */
	readonly probeAfterMs: Ms | undefined;
	/** Time after which another target takes over, if another attempt is certain. */
	readonly replaceAfterMs: Ms;
	/** Time after which the attempt ends in any case. */
	readonly endAfterMs: Ms;
}

/** Step to take after a silence, and the silence after which to judge again. */
export interface SilenceJudgment {
	readonly step: 'wait' | 'probe' | 'replace' | 'end';
	readonly nextMs: Ms;
}

/**
 * Judges the silence of a target. Silence alone does not tell whether the target still works on the request: it may go
 * on, so that its work is given up only in favor of an attempt that is certain.
 *
 * @example
 * judgeSilence(400, {probeAfterMs: 350, replaceAfterMs: 1100, endAfterMs: 4000}); // {step: 'probe', nextMs: 800}
 */
export function judgeSilence(silentMs: Ms, {probeAfterMs, replaceAfterMs, endAfterMs}: SilenceLimits): SilenceJudgment {
	if (silentMs >= endAfterMs) {
		return {step: 'end', nextMs: endAfterMs};
	}

	if (silentMs >= replaceAfterMs) {
		return {step: 'replace', nextMs: Math.min(endAfterMs, silentMs + replaceCheckMs)};
	}

	const limitMs = Math.min(replaceAfterMs, endAfterMs);
	return probeAfterMs === undefined || silentMs < probeAfterMs
		? {step: 'wait', nextMs: Math.min(limitMs, probeAfterMs ?? limitMs)}
		: {step: 'probe', nextMs: Math.min(limitMs, silentMs * 2)};
}
