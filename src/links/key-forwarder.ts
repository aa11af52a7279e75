import type {Ms} from '../clock/index.js';
import type {RequestResult} from '../requests/index.js';

/** Port that runs a request with a minted key at the incarnation that minted it. */
export interface KeyForwarder {
	/**
	 * Forwards a request once. `gone` when no link leads to the incarnation and nothing was sent; a rejection with
	 * outcome `unknown` when no reply came after the send. `deadlineMs` is on the clock's monotonic time. The request
	 * keeps its id where one is given.
	 */
	forward(pipeline: string, body: unknown, incarnation: string, deadlineMs: Ms, requestId?: string): Promise<RequestResult | 'gone'>;
}
