import type {Ms} from '../clock/index.js';

/**
 * Idempotency key of a request, with its attempt and body hash. Two requests with equal team, pipeline, key and
 * not-after time are the same request.
 */
export interface IdempotencyKey {
	readonly team: string;
	readonly pipeline: string;
	readonly key: string;
	/** Wall-clock time, in ms since 1970, after which the request must not run any more; part of the identity. */
	readonly notAfterMs: Ms;
	/** Attempt number given by the caller, from 1. */
	readonly attempt: number;
	/** Hash of the request body; the same key with another body is a conflict. */
	readonly bodyHash: string;
}

/** Handle of a claim on a key. */
export interface Claim {
	/** Identifies the key within its claim service: a hash of the key's identity, or the identity as JSON. */
	readonly keyHash: string;
	readonly claimId: string;
}

/** Outcome of a claimed request. `answer` is its result as JSON; absent when it was too large to store. */
export type ClaimOutcome =
	| {readonly type: 'done'; readonly answer?: string}
	| {readonly type: 'unknown'};

/**
 * Decision on a request:
 * - `won`: this process may run the request, once;
 * - `done`: the request has run; `answer` is the stored answer, if it is still held;
 * - `not_run`: this attempt has not run and will not run, and no earlier attempt can have run;
 * - `unknown`: this or an earlier attempt may have run.
 */
export type ClaimDecision =
	| {readonly type: 'won'; readonly claim: Claim}
	| {readonly type: 'done'; readonly answer: string | undefined}
	| {readonly type: 'not_run'; readonly reason: 'key_expired' | 'log_unavailable' | 'key_too_long_lived' | 'key_conflict' | 'deadline'}
	| {readonly type: 'unknown'; readonly reason: 'earlier_attempt_unknown' | 'claimer_unknown' | 'minter_gone'};

/** Ensures that a request with an idempotency key runs at most once across all entry VMs. */
export interface ClaimService {
	/** Claims a key. If another claim holds it, waits for its outcome until `deadlineMs` (monotonic). */
	acquire(key: IdempotencyKey, deadlineMs: Ms): Promise<ClaimDecision>;
	/** Records the outcome of a claim whose request was sent. */
	settle(claim: Claim, outcome: ClaimOutcome): void;
	/** Releases a claim whose request was not sent; the key can then be claimed again. */
	release(claim: Claim): void;
}
