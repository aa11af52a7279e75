import type {Ms} from '../clock/index.js';
import type {Random} from '../random/index.js';

const firstMs: Ms = 100;
const maxMs: Ms = 5000;

/**
 * Delay before connection attempt number `attempt` (from 0): doubles up to 5 s, and is drawn between half and the
 * whole, so that the peers of a restarted VM do not dial it all at once.
 *
 * @internal
 */
export function backoffMs(attempt: number, random: Random): Ms {
	const delay = Math.min(maxMs, firstMs * (2 ** Math.min(attempt, 10)));
	return delay * (0.5 + (random.float() / 2));
}
