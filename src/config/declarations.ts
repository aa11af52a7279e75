import {z} from 'zod';

const name = z.string().regex(/^[a-z\d][a-z\d._-]{0,62}$/, 'must be 1 to 63 of a-z, 0-9, ".", "_", "-", starting with a letter or digit');
const positive = z.number().positive();

/** An availability zone and its region. */
export const zoneSchema = z.strictObject({kind: z.literal('zone'), name, region: z.string().min(1)});

/** Network path between two regions: one-way latency in ms and price per GB. */
export const pathSchema = z.strictObject({
	kind: z.literal('path'), name, from: z.string().min(1), to: z.string().min(1), latency_ms: z.number().nonnegative(), cost_per_gb: z.number().nonnegative(),
});

/** A tenant of the deployment. `weight` is its share relative to other teams; `deadline_ms` is its default deadline. */
export const teamSchema = z.strictObject({
	kind: z.literal('team'), name, weight: positive, priority: z.number().int().min(0).max(9).default(5), deadline_ms: positive.max(600_000),
});

/**
 * A group of interchangeable targets. Speeds are estimates by the operator, which the router corrects with measurements.
 * `prefill_ms_per_token`, `decode_ms_per_token` apply to engines, `service_ms` to services.
 */
export const poolSchema = z.strictObject({
	kind: z.literal('pool'),
	name,
	type: z.enum(['engine', 'service']),
	model: z.string().optional(),
	prefill_ms_per_token: z.number().nonnegative().default(0.1),
	decode_ms_per_token: z.number().nonnegative().default(10),
	service_ms: z.number().nonnegative().default(10),
	cost_per_second: z.number().nonnegative().default(0),
	lookup: z.boolean().default(false),
});

/** A backend: an engine or a service instance. `slots` is the number of calls that it serves concurrently. */
export const targetSchema = z.strictObject({
	kind: z.literal('target'),
	name,
	zone: name,
	pool: name,
	address: z.url({protocol: /^http$/}),
	slots: z.number().int().positive().default(8),
	checks_fencing: z.boolean().default(false),
});

/** Kinds of pipeline stage. */
export const stageKinds = ['encode', 'retrieve', 'rerank', 'generate', 'call'] as const;

/** One stage of a pipeline; `idempotent: false` marks a call that must run at most once. */
export const stageSchema = z.strictObject({
	name, kind: z.enum(stageKinds), pool: name, idempotent: z.boolean().default(true), max_tokens: z.number().int().positive().optional(),
});

/** An ordered sequence of stages with a shared deadline. */
export const pipelineSchema = z.strictObject({
	kind: z.literal('pipeline'), name, deadline_ms: positive.max(600_000), stages: z.array(stageSchema).min(1).max(8),
});

/** Weights of the router's objective, and the ratio of the retry budget. */
export const policySchema = z.strictObject({
	kind: z.literal('policy'),
	name,
	attainment_weight: z.number().nonnegative().default(1),
	cost_weight: z.number().nonnegative().default(0.2),
	retry_ratio: z.number().min(0).max(1).default(0.1),
});

/** Desired model of an engine pool; the engine reconciler applies it to the engines. */
export const modelSchema = z.strictObject({
	kind: z.literal('model'), name, pool: name, version: z.string().min(1), adapters: z.array(z.string()).default([]), weight_gb: positive.default(1),
});

/** Any declaration, discriminated by `kind`. */
export const declarationSchema = z.discriminatedUnion('kind', [
	zoneSchema, pathSchema, teamSchema, poolSchema, targetSchema, pipelineSchema, policySchema, modelSchema,
]);

export type Zone = z.infer<typeof zoneSchema>;
export type Path = z.infer<typeof pathSchema>;
export type Team = z.infer<typeof teamSchema>;
export type Pool = z.infer<typeof poolSchema>;
export type TargetDeclaration = z.infer<typeof targetSchema>;
export type StageKind = typeof stageKinds[number];
export type Stage = z.infer<typeof stageSchema>;
export type Pipeline = z.infer<typeof pipelineSchema>;
export type Policy = z.infer<typeof policySchema>;
export type Model = z.infer<typeof modelSchema>;
export type Declaration = z.infer<typeof declarationSchema>;
/** `kind/name`; unique within a configuration. */
export type DeclarationKey = `${Declaration['kind']}/${string}`;

/** Returns the key of a declaration. */
export function declarationKey(declaration: Declaration): DeclarationKey {
	return `${declaration.kind}/${declaration.name}`;
}
