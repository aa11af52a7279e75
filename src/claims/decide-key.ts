import type {Ms} from '../clock/index.js';
import type {BookingKey, BookingOutcome, ClaimDecision} from './claim-service.js';
import type {ClaimsFollowerState} from './claims-follower-lifecycle.js';
import type {ClaimEntry} from './fold-claims.js';

/** What is known when a key is decided; times in ms, `nowMs` and `deadlineMs` monotonic. @internal */
export interface KeyFacts {
	readonly nowMs: Ms;
	readonly deadlineMs: Ms;
	readonly followerState: ClaimsFollowerState;
}

/** Decision on a key that a claim holds. `own` is the outcome of an own claim that is not read back yet. @internal */
export function decideHeld(key: BookingKey, entry: ClaimEntry, facts: KeyFacts & {isOwn: boolean; own: BookingOutcome | undefined}): ClaimDecision | 'wait' {
	if (entry.bodyHash !== key.bodyHash) {
		return {type: 'not_run', reason: 'key_conflict'};
	}

	const {own, isOwn} = facts;
	const state = own?.type ?? entry.state;
	if (state === 'done') {
		return {type: 'done', answer: own?.type === 'done' ? own.answer : entry.answer};
	}

	// During an outage, the outcome of a claim of another process cannot arrive.
	const isCutOff = facts.followerState === 'stopped' || (!isOwn && facts.followerState === 'outage');
	if (state === 'unknown' || isCutOff) {
		return {type: 'unknown', reason: 'earlier_attempt_unknown'};
	}

	if (facts.nowMs < facts.deadlineMs) {
		return 'wait';
	}

	return {type: 'unknown', reason: isOwn ? 'earlier_attempt_unknown' : 'claimer_unknown'};
}

/** Decision on a key that no known claim holds. @internal */
export function decideFree(key: BookingKey, facts: KeyFacts & {wallMs: Ms; logTimeMs: Ms; maxLifeMs: Ms}): ClaimDecision | 'wait' | 'claim' {
	// Only a quick answer: the log's clock judges every claim again, and alone judges declared retries.
	if (key.attempt === 1 && key.notAfterMs > facts.wallMs + facts.maxLifeMs) {
		return {type: 'not_run', reason: 'key_too_long_lived'};
	}

	if (key.notAfterMs < Math.max(facts.logTimeMs, facts.wallMs)) {
		return notRun(key, 'key_expired');
	}

	if (facts.nowMs >= facts.deadlineMs) {
		return notRun(key, 'deadline');
	}

	switch (facts.followerState) {
		case 'following': {
			return 'claim';
		}

		case 'starting': {
			return 'wait';
		}

		default: {
			return notRun(key, 'log_unavailable');
		}
	}
}

/** A first try that was not run is `not_run`; of a declared retry, the earlier tries are unknown. @internal */
export function notRun(key: BookingKey, reason: 'log_unavailable' | 'deadline' | 'key_expired'): ClaimDecision {
	return key.attempt > 1 ? {type: 'unknown', reason: 'earlier_attempt_unknown'} : {type: 'not_run', reason};
}
