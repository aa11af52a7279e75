import type {Ms} from '../clock/index.js';
import type {CallerRequest} from './caller-request.js';
import type {RequestResult} from './result.js';

/** Forwards requests to the entry VM that minted their idempotency key: only that VM may run them. */
export interface RequestForwarder {
	/**
	 * Runs a request on the incarnation that minted its key, until `deadlineMs` (monotonic time). Returns `gone` when that
	 * incarnation cannot be reached. If the reply is lost after the request was sent, the result is a rejection with the
	 * outcome `unknown`. The request keeps `requestId` when it is given.
	 */
	forward(pipeline: string, body: CallerRequest, incarnation: string, deadlineMs: Ms, requestId?: string): Promise<RequestResult | 'gone'>;
}

/** Forwarder for an entry VM without links: reports every other incarnation as gone. */
export const nullRequestForwarder: RequestForwarder = {
	async forward() {
		return 'gone';
	},
};
