import type {Ms} from '../clock/index.js';

/** Why the relay answers a request itself. */
export type RelayReason =
	| 'not_configured' | 'shutting_down' | 'no_route' | 'unknown_key' | 'bad_request' | 'body_too_large'
	| 'no_target' | 'target_refused' | 'stages_late' | 'stages_overloaded' | 'stages_failed' | 'target_failed' | 'timeout';

/** An answer of the relay's own. Statuses 408, 421, 429 and 503 tell the caller that the request did not and will not run. */
export interface Rejection {
	readonly status: 400 | 401 | 404 | 413 | 502 | 503 | 504;
	readonly reason: RelayReason;
	/** Time after which a retry is likely to be served. */
	readonly retryAfterMs?: Ms;
}
