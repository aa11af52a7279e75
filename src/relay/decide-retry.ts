import {isRetryable, type RequestKind} from '../routes/index.js';
import type {Rejection} from './rejection.js';

/** Why an attempt at a target produced no response that can be delivered. */
export type AttemptFailure =
	/** The target reports that it did not run the request. */
	| 'refused'
	/** No byte of the request reached the target. */
	| 'unsent'
	/** The request waited for a connection when the target stopped accepting requests, or another target had a place. */
	| 'withdrawn'
	/** The request was sent, but no complete response arrived. */
	| 'broken'
	/** The request was sent, but the target stopped responding. */
	| 'silent'
	/** The target sent a complete error response. */
	| 'error';

/**
 * Why a request is not sent to another target: it crashes targets, a target may have run it, its attempts, the targets,
 * its time, the retry budget or that of a service of its stages are used up, the other targets cannot be reached or have
 * no place within their limits, or what they need cannot be made again.
 */
export type RetryDenial = 'quarantined' | 'may_have_run' | 'no_attempt' | 'no_target' | 'no_time' | 'no_budget' | 'no_stage_budget' | 'unreachable' | 'no_place' | 'no_inputs';

/** How a request ends after a failed attempt. */
export type RetryEnd = {readonly step: 'deliver_error'; readonly denial: RetryDenial} | {readonly step: 'reject'; readonly rejection: Rejection; readonly denial: RetryDenial};

/** Action to take after a failed attempt. */
export type RetryDecision = {readonly step: 'retry'} | RetryEnd;

/** State of a request after a failed attempt, on which `decideRetry` depends. */
export interface FailedAttemptState {
	readonly failure: AttemptFailure;
	readonly kind: RequestKind;
	readonly isResumable: boolean;
	/** Number of attempts in which the request may have reached a target, including this one. */
	readonly sentCount: number;
	/** Number of attempts that may have run, including this one. */
	readonly possibleRunCount: number;
	readonly maxAttempts: number;
	/** Whether requests like it are rejected since they crash targets. */
	readonly isQuarantined: boolean;
	readonly hasUntriedTarget: boolean;
	readonly hasTime: boolean;
	/** Takes one retry from the budget of the service and returns whether it was granted; called only if all other conditions hold. */
	readonly spendRetry: () => boolean;
}

/**
 * Decides whether a request is sent to another target. A request that must not run twice is retried only if no target
 * can have run it. A status that promises the caller that the request did not run is returned only under that condition.
 *
 * @example
 * decideRetry({failure: 'refused', kind: 'non_idempotent', …});
 */
export function decideRetry(state: FailedAttemptState): RetryDecision {
	const {failure} = state;
	// If no target was reached so far, the next attempt is the first one and takes nothing from the retry budget. After a
	// retry that was not sent, what was taken for it still holds.
	const denial = findRetryDenial(state) ?? (state.sentCount === 0 || isNotSent(failure) || state.spendRetry() ? undefined : 'no_budget');
	return denial === undefined ? {step: 'retry'} : decideEnd(state, denial);
}

/**
 * Decides how a request ends after a failed attempt that is not followed by another one.
 *
 * @example
 * decideEnd({failure: 'refused', possibleRunCount: 0}, 'no_stage_budget'); // a rejection with status 503
 */
export function decideEnd({failure, possibleRunCount}: Pick<FailedAttemptState, 'failure' | 'possibleRunCount'>, denial: RetryDenial): RetryEnd {
	if (failure === 'error') {
		return {step: 'deliver_error', denial};
	}

	if (possibleRunCount === 0) {
		return {step: 'reject', denial, rejection: {status: 503, reason: failure === 'refused' ? 'target_refused' : 'no_target', retryAfterMs: 100}};
	}

	return {step: 'reject', denial, rejection: {status: failure === 'silent' ? 504 : 502, reason: 'target_failed'}};
}

/** Whether an attempt has failed before any byte of the request can have reached the target. */
export function isNotSent(failure: AttemptFailure): boolean {
	return failure === 'unsent' || failure === 'withdrawn';
}

/** Returns why a request must not be sent to another target, apart from the retry budget; `undefined` if it may be. */
export function findRetryDenial(state: Omit<FailedAttemptState, 'spendRetry'>): RetryDenial | undefined {
	const {failure, sentCount, possibleRunCount, maxAttempts, isQuarantined, hasUntriedTarget, hasTime} = state;
	if (isQuarantined) {
		return 'quarantined';
	}

	if (!isRetryable(state) && possibleRunCount > 0) {
		return 'may_have_run';
	}

	if (!isNotSent(failure) && sentCount >= maxAttempts) {
		return 'no_attempt';
	}

	if (!hasUntriedTarget) {
		return 'no_target';
	}

	return hasTime ? undefined : 'no_time';
}
