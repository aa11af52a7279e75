import type {Clock, Ms} from '../clock/index.js';
import type {RelayTarget} from '../registry/index.js';

/** A request that waits for a connection. */
export interface UnsentRequest {
	readonly clock: Clock;
	readonly target: RelayTarget;
	/** Time by which the request must be sent, since its permit is void then; `undefined` without a bound. */
	readonly sendByMs?: Ms | undefined;
}

/**
 * Calls `onWithdrawn` when a request that waits for a connection must not be sent any more; returns a function that ends
 * the watch.
 *
 * @example
 * const end = watchUnsent({clock, target, sendByMs}, () => withdraw());
 */
export function watchUnsent({clock, target, sendByMs}: UnsentRequest, onWithdrawn: () => void): () => void {
	const endWatch = target.watchUnsent(onWithdrawn);
	const cancel = sendByMs === undefined ? undefined : clock.after(Math.max(0, sendByMs - clock.now()), onWithdrawn);
	return () => {
		endWatch();
		cancel?.();
	};
}
