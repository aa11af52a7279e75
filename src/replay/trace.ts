import {z} from 'zod';

const ms = z.number().nonnegative();

/** Names of the deployments that traces are generated for. */
export const deploymentNames = ['die-works', 'fundacion'] as const;

/** Outcomes that a replay of the trace is expected to meet. The report contains the result of each check. */
export const expectedOutcomesSchema = z.strictObject({
	/** Minimum share of requests answered completely, correctly and within their deadline, by team. */
	min_attainment: z.record(z.string(), z.number().min(0).max(1)).default({}),
	/** No call is executed twice for the same idempotency key. */
	no_double_runs: z.boolean().default(true),
	/** No request rejected as `not_run` was executed. */
	no_false_not_run: z.boolean().default(true),
	/** Maximum share of admitted requests that miss their deadline. */
	max_late: z.number().min(0).max(1).optional(),
});

/** Header, the first line of a trace. */
export const traceHeaderSchema = z.strictObject({
	type: z.literal('header'),
	name: z.string().min(1),
	seed: z.number().int(),
	deployment: z.enum(deploymentNames),
	duration_ms: z.number().positive(),
	/** Capacity of the prefix cache of each engine, in tokens. */
	cache_tokens: z.number().int().nonnegative(),
	outcomes: expectedOutcomesSchema,
});

/** Segment of a prompt, given as its text or as a token count from which the text is generated. */
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
	/** Number of the caller's attempt with this key, from 1. */
	attempt: z.number().int().positive().default(1),
	/** `any` marks requests that may be rejected because of an overload or fault in the trace. */
	expect: z.enum(['answer', 'any']).default('answer'),
});

/** Kinds of faults that a trace can inject. */
export const traceFaultKinds = ['slow', 'stuck', 'half_open', 'fail', 'draining', 'dead', 'load_lag', 'cache_event_gaps', 'cache_event_lag', 'zone_cut'] as const;

/** A fault of one target, of all targets of a pool or zone, of all targets, of a zone's network, or of the platform's log. */
export const traceFaultSchema = z.strictObject({
	type: z.literal('fault'),
	at_ms: ms,
	until_ms: ms,
	scope: z.enum(['target', 'pool', 'zone', 'all', 'platform']),
	name: z.string().default(''),
	fault: z.enum(traceFaultKinds),
	/** Added latency in ms, lag in ms, or share of lost events, depending on the kind of fault. */
	value: z.number().nonnegative().default(0),
});

/** Header of a trace. */
export type TraceHeader = z.infer<typeof traceHeaderSchema>;
/** Segment of a prompt. */
export type TraceSegment = z.infer<typeof traceSegmentSchema>;
/** Request of a trace. */
export type TraceRequest = z.infer<typeof traceRequestSchema>;
/** Fault of a trace. */
export type TraceFault = z.infer<typeof traceFaultSchema>;
/** Name of a reference deployment. */
export type DeploymentName = typeof deploymentNames[number];

/** A trace with requests and faults in chronological order. */
export interface Trace {
	readonly header: TraceHeader;
	readonly requests: readonly TraceRequest[];
	readonly faults: readonly TraceFault[];
}
