import type {Ms} from '../clock/index.js';

/** Identity of a booking: equal identities are the same booking. */
export interface BookingKey {
	readonly team: string;
	readonly pipeline: string;
	readonly key: string;
	/** Wall-clock ms since 1970 after which the key can no longer run; part of the identity. */
	readonly notAfterMs: Ms;
	/** Number of this try as the caller counts it, from 1. */
	readonly attempt: number;
	/** Hash of the request's body; the same key with another body is a conflict. */
	readonly bodyHash: string;
}

/** Handle of a claim that won. */
export interface Claim {
	readonly keyHash: string;
	readonly claimId: string;
}

/** How a booking ended. `answer` is the JSON of the answer; absent when it was too large to keep. */
export type BookingOutcome =
	| {readonly type: 'done'; readonly answer?: string}
	| {readonly type: 'unknown'};

/**
 * Decision on a booking:
 * `won` this process may send, exactly once; `done` it ran before, with the stored answer where held;
 * `not_run` this try was not and will not be run, and no earlier try may have run;
 * `unknown` an earlier or present try may have run.
 */
export type ClaimDecision =
	| {readonly type: 'won'; readonly claim: Claim}
	| {readonly type: 'done'; readonly answer: string | undefined}
	| {readonly type: 'not_run'; readonly reason: 'key_expired' | 'log_unavailable' | 'key_too_long_lived' | 'key_conflict' | 'deadline'}
	| {readonly type: 'unknown'; readonly reason: 'earlier_attempt_unknown' | 'claimer_unknown' | 'minter_gone'};

/** Service that lets a booking run at most once over all entry VMs. */
export interface ClaimService {
	/** Claims a booking; waits for a claim held elsewhere to settle until `deadlineMs` (monotonic). */
	acquire(key: BookingKey, deadlineMs: Ms): Promise<ClaimDecision>;
	/** Records the outcome of a claim that was sent. */
	settle(claim: Claim, outcome: BookingOutcome): void;
	/** Gives up a claim before anything was sent; the key can then be claimed again. */
	release(claim: Claim): void;
}
