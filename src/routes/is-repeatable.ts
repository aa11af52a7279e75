import type {Route} from './relay-declarations.js';

/** True when a request of the route may run more than once: it is idempotent, or a stream that can be resumed. */
export function isRepeatable({kind, isResumable}: Pick<Route, 'kind' | 'isResumable'>): boolean {
	return kind === 'idempotent' || (kind === 'stream' && isResumable);
}
