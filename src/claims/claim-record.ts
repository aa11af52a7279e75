import {z} from 'zod';

const id = z.string().min(1).max(128);

/** Schema of a record of the stream `claims`. `key` is the hash of the idempotency key. */
export const claimRecordSchema = z.discriminatedUnion('kind', [
	z.object({
		kind: z.literal('claim'), key: id, claimId: id, incarnation: id, notAfterMs: z.number().int().nonnegative(), bodyHash: id,
	}),
	z.object({
		kind: z.literal('release'), key: id, claimId: id, incarnation: id,
	}),
	z.object({
		kind: z.literal('outcome'), key: id, claimId: id, incarnation: id, outcome: z.enum(['done', 'unknown']), answer: z.string().optional(),
	}),
]);

/** Record of the stream `claims`: a claim, its release, or its outcome. */
export type ClaimRecord = z.infer<typeof claimRecordSchema>;
