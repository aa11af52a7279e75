import type {Ms} from '../clock/index.js';
import type {Random} from '../random/index.js';

const initialDelayMs: Ms = 100;
const maxDelayMs: Ms = 5000;

/**
 * Returns the delay before a connection attempt: exponential backoff with a maximum of 5 s, counting attempts from 0.
 * The delay is randomized to between 50 % and 100 %, so that peers do not reconnect to a restarted VM at the same time.
 *
 * @internal
 */
export function backoffMs(attempt: number, random: Random): Ms {
	const delay = Math.min(maxDelayMs, initialDelayMs * (2 ** Math.min(attempt, 10)));
	return delay * (0.5 + (random.float() / 2));
}
