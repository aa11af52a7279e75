import {isRepeatable, type RequestKind} from '../routes/index.js';
import type {Rejection} from './rejection.js';

/** How one attempt at a target ended without an answer that can be delivered. */
export type FailedAttempt =
	/** The target says that it did not run the request. */
	| 'refused'
	/** No byte of the request reached the target. */
	| 'unsent'
	/** Sent, and no whole answer came. */
	| 'broken'
	/** Sent, and the target became silent. */
	| 'silent'
	/** A whole answer that says the target failed. */
	| 'error';

/** What to do after a failed attempt. */
export type NextStep = {readonly step: 'retry'} | {readonly step: 'deliver_error'} | {readonly step: 'reject'; readonly rejection: Rejection};

/** State of a request after a failed attempt. */
export interface FailedState {
	readonly attempt: FailedAttempt;
	readonly kind: RequestKind;
	readonly isResumable: boolean;
	/** Attempts that reached a target, this one included. */
	readonly sent: number;
	/** Attempts that may have run, this one included. */
	readonly mayHaveRun: number;
	readonly maxAttempts: number;
	readonly hasUntriedTarget: boolean;
	readonly hasTime: boolean;
	/** Takes one repeat from the budget of the service; asked last. */
	readonly spendRepeat: () => boolean;
}

/**
 * Decides whether a request is sent to another target. One that may run at most once is sent again only while no target
 * can have run it; "not run" is told only where that is so.
 *
 * @example
 * nextStep({attempt: 'refused', kind: 'non_idempotent', …});
 */
export function nextStep(state: FailedState): NextStep {
	const {attempt, sent, mayHaveRun, maxAttempts, hasUntriedTarget, hasTime} = state;
	const mayRepeat = isRepeatable(state) || mayHaveRun === 0;
	const isWithinAttempts = attempt === 'unsent' || sent < maxAttempts;
	// A request that reached no target is no repeat at the next one.
	if (mayRepeat && isWithinAttempts && hasUntriedTarget && hasTime && (sent === 0 || state.spendRepeat())) {
		return {step: 'retry'};
	}

	if (attempt === 'error') {
		return {step: 'deliver_error'};
	}

	if (mayHaveRun === 0) {
		return {step: 'reject', rejection: {status: 503, reason: attempt === 'refused' ? 'target_refused' : 'no_target', retryAfterMs: 100}};
	}

	return {step: 'reject', rejection: {status: attempt === 'silent' ? 504 : 502, reason: 'target_failed'}};
}
