import type {Finding} from '../errors/index.js';

/** All machine-readable rejection reasons. */
export const rejectionReasons = [
	'bad_request',
	'body_too_large',
	'unknown_pipeline',
	'unknown_team',
	'overloaded',
	'no_target',
	'deadline',
	'target_failed',
	'answer_mismatch',
	'key_expired',
	'key_too_long_lived',
	'key_conflict',
	'log_unavailable',
	'earlier_attempt_unknown',
	'claimer_unknown',
	'minter_gone',
	'shutting_down',
	'not_configured',
	'caller_left',
	'internal',
] as const;

/** Machine-readable reason of a rejection. */
export type RejectionReason = typeof rejectionReasons[number];

/** Outcome of a rejected request: `not_run` when it certainly did not run, `unknown` when it may have run. */
export type RejectionOutcome = 'not_run' | 'unknown';

/** Target, attempts and timing of one stage in an answer. */
export interface StageReport {
	readonly stage: string;
	readonly target: string;
	readonly attempts: number;
	readonly wait_ms: number;
	readonly service_ms: number;
}

/** Complete answer to a request. */
export interface Answer {
	readonly request_id: string;
	readonly outcome: 'done';
	readonly answer: string;
	readonly chunks: number;
	readonly stages: readonly StageReport[];
}

/** Result of a request that has already run under its idempotency key, and whose answer is not stored or was evicted. */
export interface AnswerNotHeld {
	readonly request_id: string;
	readonly outcome: 'done';
	readonly answer: undefined;
	readonly held: false;
}

/** Result of a request that was rejected or failed. */
export interface Rejection {
	readonly request_id: string;
	readonly outcome: RejectionOutcome;
	readonly reason: RejectionReason;
	readonly message: string;
	readonly findings?: readonly Finding[];
}

/** Result of a request. */
export type RequestResult = Answer | AnswerNotHeld | Rejection;

/** Whether a result is a rejection. */
export function isRejection(result: RequestResult): result is Rejection {
	return result.outcome !== 'done';
}

const statusByReason: Partial<Record<RejectionReason, number>> = {
	bad_request: 400,
	body_too_large: 413,
	unknown_pipeline: 404,
	unknown_team: 403,
	overloaded: 429,
	deadline: 504,
	target_failed: 502,
	answer_mismatch: 502,
	key_expired: 410,
	key_too_long_lived: 400,
	key_conflict: 409,
	earlier_attempt_unknown: 502,
	claimer_unknown: 502,
	minter_gone: 502,
	internal: 500,
};

/** Returns the HTTP status code of a result; rejections without a more specific code give 503. */
export function httpStatus(result: RequestResult): number {
	return isRejection(result) ? statusByReason[result.reason] ?? 503 : 200;
}
