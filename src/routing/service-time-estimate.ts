import type {Ms} from '../clock/index.js';
import type {Pool, Stage} from '../config/index.js';

/** Estimated time that one call takes on a target. */
export interface ServiceTimeEstimate {
	/** Time from dispatch to completion, during which the call occupies a slot. */
	readonly serviceMs: Ms;
	/** Target time charged to the team: prefill time plus the call's share of the batched decode time. */
	readonly workMs: Ms;
}

/**
 * Estimates the service time of a call from the pool's declared speeds. Concurrent calls are decoded as one batch, so
 * the charged decode time is divided by the batch size.
 *
 * @example
 * estimateServiceTime(pool, stage, {uncachedTokens: 200, maxTokens: 64, batch: 8});
 */
export function estimateServiceTime(pool: Pool, stage: Stage, load: {uncachedTokens: number; maxTokens: number; batch: number}): ServiceTimeEstimate {
	if (pool.type === 'service') {
		return {serviceMs: pool.service_ms, workMs: pool.service_ms};
	}

	const prefillMs = load.uncachedTokens * pool.prefill_ms_per_token;
	const tokens = stage.kind === 'generate' ? Math.min(load.maxTokens, stage.max_tokens ?? load.maxTokens) : 0;
	const decodeMs = tokens * pool.decode_ms_per_token;
	return {serviceMs: prefillMs + decodeMs, workMs: prefillMs + (decodeMs / Math.max(1, load.batch))};
}
