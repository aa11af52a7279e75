import type {Route} from './relay-declarations.js';

/** Returns true if a request of the route may run more than once: it is idempotent, or a resumable stream. */
export function isRetryable({kind, isResumable}: Pick<Route, 'kind' | 'isResumable'>): boolean {
	return kind === 'idempotent' || (kind === 'stream' && isResumable);
}
