import {z} from 'zod';

const maxDeadlineMs = 600_000;
const maxTokensLimit = 100_000;
const maxSegments = 1000;

/** Body of `POST /v1/pipelines/{pipeline}/requests`. */
export const callerRequestSchema = z.strictObject({
	team: z.string().min(1).max(63),
	/** Time budget in ms from arrival at the entry VM; defaults to the pipeline's deadline. */
	deadline_ms: z.number().positive().max(maxDeadlineMs).optional(),
	input: z.union([
		z.strictObject({text: z.string()}),
		z.strictObject({segments: z.array(z.strictObject({id: z.string().max(200), text: z.string()})).min(1).max(maxSegments)}),
	]),
	max_tokens: z.number().int().positive().max(maxTokensLimit).default(64),
	stream: z.boolean().default(false),
	/** Marks every stage of this request as non-idempotent. */
	non_idempotent: z.boolean().default(false),
	idempotency: z.strictObject({
		key: z.string().min(1).max(200),
		/** Unix time in ms after which a request with the key is no longer run; part of the key's identity. */
		not_after_ms: z.number().int().positive().optional(),
		/** Number of the caller's attempt, starting at 1. */
		attempt: z.number().int().positive().default(1),
	}).optional(),
});

/** Validated body of a caller's request. */
export type CallerRequest = z.infer<typeof callerRequestSchema>;
