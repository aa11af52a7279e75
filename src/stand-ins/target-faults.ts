import {z} from 'zod';

/** Faults that can be injected into a stand-in target. Counts decrease by one each time the fault occurs. */
export const targetFaultsSchema = z.strictObject({
	/** Delay added to each call, in ms. */
	slow_ms: z.number().nonnegative().default(0),
	/** Calls, load reports and health checks are never answered. */
	stuck: z.boolean().default(false),
	/** Simulates half-open connections: streams on open connections stop, and calls on them are never answered. New connections work. */
	half_open: z.boolean().default(false),
	/** Number of upcoming service calls that run but whose connection closes without an answer. */
	drop_answers: z.number().int().nonnegative().default(0),
	/** Number of upcoming calls that are answered with status 500 and do not run. */
	fail: z.number().int().nonnegative().default(0),
	/** Number of upcoming service replies that carry the id of another request. */
	mismatch: z.number().int().nonnegative().default(0),
	/** Number of upcoming streams that are cut off after `truncate_after` chunks. */
	truncate: z.number().int().nonnegative().default(0),
	truncate_after: z.number().int().nonnegative().default(3),
	/** Reports the target as draining and refuses calls. */
	draining: z.boolean().default(false),
	/** Age of load reports in ms. */
	load_lag_ms: z.number().nonnegative().default(0),
	/** Probability that a cache event is never published. */
	cache_event_loss: z.number().min(0).max(1).default(0),
	/** Delay before a cache event becomes visible, in ms. */
	cache_event_lag_ms: z.number().nonnegative().default(0),
});

/** Faults currently injected into a stand-in target. */
export type TargetFaults = z.infer<typeof targetFaultsSchema>;

/** Returns the default settings, which inject no fault. */
export function noTargetFaults(): TargetFaults {
	return targetFaultsSchema.parse({});
}
