import type {Ms} from '../clock/index.js';
import type {IdempotencyKey, ClaimOutcome, ClaimDecision} from './claim-service.js';
import type {ClaimsFollowerState} from './claims-follower-lifecycle.js';
import type {ClaimEntry} from './fold-claims.js';

/** Context in which a key is decided. `nowMs` and `deadlineMs` are monotonic. @internal */
export interface DecisionContext {
	readonly nowMs: Ms;
	readonly deadlineMs: Ms;
	readonly followerState: ClaimsFollowerState;
}

/**
 * Decides a key that a claim holds. `ownOutcome` is the outcome of this process's claim, if it is not yet read back.
 *
 * @internal
 */
export function decideHeldKey(key: IdempotencyKey, entry: ClaimEntry, context: DecisionContext & {isOwn: boolean; ownOutcome: ClaimOutcome | undefined}): ClaimDecision | 'wait' {
	if (entry.bodyHash !== key.bodyHash) {
		return {type: 'not_run', reason: 'key_conflict'};
	}

	const {ownOutcome, isOwn} = context;
	const state = ownOutcome?.type ?? entry.state;
	if (state === 'done') {
		return {type: 'done', answer: ownOutcome?.type === 'done' ? ownOutcome.answer : entry.answer};
	}

	// During an outage of the log, the outcome of another process's claim cannot arrive.
	const isOutcomeUnreachable = context.followerState === 'stopped' || (!isOwn && context.followerState === 'outage');
	if (state === 'unknown' || isOutcomeUnreachable) {
		return {type: 'unknown', reason: 'earlier_attempt_unknown'};
	}

	if (context.nowMs < context.deadlineMs) {
		return 'wait';
	}

	return {type: 'unknown', reason: isOwn ? 'earlier_attempt_unknown' : 'claimer_unknown'};
}

/** Decides a key that no known claim holds. @internal */
export function decideFreeKey(key: IdempotencyKey, context: DecisionContext & {wallMs: Ms; logTimeMs: Ms; maxLifeMs: Ms}): ClaimDecision | 'wait' | 'claim' {
	// This check only saves an append: every claim is checked again against the log's clock. Retries are checked only there,
	// because a slow local clock must not report `not_run` for a key whose earlier attempts may have run.
	if (key.attempt === 1 && key.notAfterMs > context.wallMs + context.maxLifeMs) {
		return {type: 'not_run', reason: 'key_too_long_lived'};
	}

	if (key.notAfterMs < Math.max(context.logTimeMs, context.wallMs)) {
		return notRunOrUnknown(key, 'key_expired');
	}

	if (context.nowMs >= context.deadlineMs) {
		return notRunOrUnknown(key, 'deadline');
	}

	switch (context.followerState) {
		case 'following': {
			return 'claim';
		}

		case 'starting': {
			return 'wait';
		}

		default: {
			return notRunOrUnknown(key, 'log_unavailable');
		}
	}
}

/** Returns `not_run` for a first attempt, and `unknown` for a retry, whose earlier attempts may have run. @internal */
export function notRunOrUnknown(key: IdempotencyKey, reason: 'log_unavailable' | 'deadline' | 'key_expired'): ClaimDecision {
	return key.attempt > 1 ? {type: 'unknown', reason: 'earlier_attempt_unknown'} : {type: 'not_run', reason};
}
