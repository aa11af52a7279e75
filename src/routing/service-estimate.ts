import type {Ms} from '../clock/index.js';
import type {Pool, Stage} from '../config/index.js';

/** Expected use of a target by one call. */
export interface ServiceEstimate {
	/** Time from dispatch to the end; the call holds a slot that long. */
	readonly serviceMs: Ms;
	/** Share of the target's time that the call takes from others; what a team is charged. */
	readonly workMs: Ms;
}

/**
 * Estimates a call by the pool's declared speeds. Decoding is shared by a batch, so its work is divided by the batch.
 *
 * @example
 * estimateService(pool, stage, {uncachedTokens: 200, maxTokens: 64, batch: 8});
 */
export function estimateService(pool: Pool, stage: Stage, load: {uncachedTokens: number; maxTokens: number; batch: number}): ServiceEstimate {
	if (pool.type === 'service') {
		return {serviceMs: pool.service_ms, workMs: pool.service_ms};
	}

	const prefillMs = load.uncachedTokens * pool.prefill_ms_per_token;
	const tokens = stage.kind === 'generate' ? Math.min(load.maxTokens, stage.max_tokens ?? load.maxTokens) : 0;
	const decodeMs = tokens * pool.decode_ms_per_token;
	return {serviceMs: prefillMs + decodeMs, workMs: prefillMs + (decodeMs / Math.max(1, load.batch))};
}
