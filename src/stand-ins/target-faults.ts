import {z} from 'zod';

/** Faults that a stand-in target can be asked for. Counts fall by one each time they apply. */
export const targetFaultsSchema = z.strictObject({
	/** Extra delay of each call in ms. */
	slow_ms: z.number().nonnegative().default(0),
	/** Calls never answer. */
	stuck: z.boolean().default(false),
	/** Open connections go silent: streams stop and calls on them never answer; new connections work. */
	half_open: z.boolean().default(false),
	/** The next N calls run, but their answer is dropped with the connection. */
	drop_answers: z.number().int().nonnegative().default(0),
	/** The next N calls answer 500 without running. */
	fail: z.number().int().nonnegative().default(0),
	/** The next N replies name another request. */
	mismatch: z.number().int().nonnegative().default(0),
	/** The next N streams end after this many chunks, without a last one. */
	truncate: z.number().int().nonnegative().default(0),
	truncate_after: z.number().int().nonnegative().default(3),
	/** Reports itself as draining. */
	draining: z.boolean().default(false),
	/** Age of load reports in ms. */
	load_lag_ms: z.number().nonnegative().default(0),
	/** Share of cache events that are never published. */
	cache_event_loss: z.number().min(0).max(1).default(0),
	/** Delay before a cache event is published, in ms. */
	cache_event_lag_ms: z.number().nonnegative().default(0),
});

/** Faults in force at a stand-in target. */
export type TargetFaults = z.infer<typeof targetFaultsSchema>;

/** No fault. */
export function noTargetFaults(): TargetFaults {
	return targetFaultsSchema.parse({});
}
