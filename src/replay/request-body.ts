import {segmentText} from './segment-text.js';
import type {TraceRequest} from './trace.js';

const idempotencyKeyLifetimeMs = 600_000;

/** Returns the body of a request as a caller sends it. `startWallMs` is the wall-clock time at the start of the replay. @internal */
export function requestBody(request: TraceRequest, startWallMs: number): unknown {
	return {
		team: request.team,
		deadline_ms: request.deadline_ms,
		input: {segments: request.segments.map(segment => ({id: segment.id, text: segmentText(segment)}))},
		max_tokens: request.max_tokens,
		stream: true,
		...(request.key === undefined
			? {}
			: {
				idempotency: {key: request.key, not_after_ms: Math.floor(startWallMs) + idempotencyKeyLifetimeMs, attempt: request.attempt},
			}),
	};
}
