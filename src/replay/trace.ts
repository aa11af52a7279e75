import {z} from 'zod';

const ms = z.number().nonnegative();

/** Names of the deployments that traces are made for. */
export const deploymentNames = ['die-works', 'fundacion'] as const;

/** Outcomes that a trace states; the report says whether they held. */
export const statedOutcomesSchema = z.strictObject({
	/** Least share of requests answered whole within their deadline, by team. */
	min_attainment: z.record(z.string(), z.number().min(0).max(1)).default({}),
	/** No idempotency key runs twice. */
	no_double_runs: z.boolean().default(true),
	/** Every rejection with outcome `not_run` is true. */
	no_false_not_run: z.boolean().default(true),
	/** Largest share of admitted requests that miss their deadline. */
	max_late: z.number().min(0).max(1).optional(),
});

/** First line of a trace. */
export const traceHeaderSchema = z.strictObject({
	type: z.literal('header'),
	name: z.string().min(1),
	seed: z.number().int(),
	deployment: z.enum(deploymentNames),
	duration_ms: z.number().positive(),
	/** Size of each engine's prefix cache in tokens. */
	cache_tokens: z.number().int().nonnegative(),
	outcomes: statedOutcomesSchema,
});

/** Segment of a prompt: its text, or a token count from which the text is made. */
export const traceSegmentSchema = z.union([
	z.strictObject({id: z.string().min(1).max(200), tokens: z.number().int().positive()}),
	z.strictObject({id: z.string().min(1).max(200), text: z.string()}),
]);

/** One request of a caller. */
export const traceRequestSchema = z.strictObject({
	type: z.literal('request'),
	id: z.string().min(1),
	at_ms: ms,
	entry_vm: z.string().min(1),
	team: z.string().min(1),
	pipeline: z.string().min(1),
	segments: z.array(traceSegmentSchema).min(1),
	max_tokens: z.number().int().positive(),
	deadline_ms: z.number().positive(),
	/** Key of a request with non-idempotent stages; absent for idempotent requests. */
	key: z.string().min(1).max(200).optional(),
	/** Number of this try of the key, from 1. */
	attempt: z.number().int().positive().default(1),
	/** `any` stands for requests that a stated overload or fault may reject. */
	expect: z.enum(['answer', 'any']).default('answer'),
});

/** Faults that a trace can put in force. */
export const traceFaultKinds = ['slow', 'stuck', 'half_open', 'fail', 'draining', 'dead', 'load_lag', 'cache_event_gaps', 'cache_event_lag', 'zone_cut'] as const;

/** A fault of a target, of every target of a pool, of a zone, or of the platform's log. */
export const traceFaultSchema = z.strictObject({
	type: z.literal('fault'),
	at_ms: ms,
	until_ms: ms,
	scope: z.enum(['target', 'pool', 'zone', 'all', 'platform']),
	name: z.string().default(''),
	fault: z.enum(traceFaultKinds),
	/** Added ms, lag in ms, or share of lost events, by the kind of the fault. */
	value: z.number().nonnegative().default(0),
});

export type TraceHeader = z.infer<typeof traceHeaderSchema>;
export type TraceSegment = z.infer<typeof traceSegmentSchema>;
export type TraceRequest = z.infer<typeof traceRequestSchema>;
export type TraceFault = z.infer<typeof traceFaultSchema>;
export type DeploymentName = typeof deploymentNames[number];

/** A recorded trace: requests and faults in order of time. */
export interface Trace {
	readonly header: TraceHeader;
	readonly requests: readonly TraceRequest[];
	readonly faults: readonly TraceFault[];
}
