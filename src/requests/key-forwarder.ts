import type {Ms} from '../clock/index.js';
import type {CallerRequest} from './caller-request.js';
import type {RequestResult} from './result.js';

/** Port to the entry VM that minted a key: it alone may run requests with that key. */
export interface KeyForwarder {
	/**
	 * Runs a request at the incarnation that minted its key, until `deadlineMs` (monotonic). `gone` when that
	 * incarnation cannot be reached. After the request was sent, a lost reply is a rejection with outcome `unknown`.
	 * The request keeps its id where one is given.
	 */
	forward(pipeline: string, body: CallerRequest, incarnation: string, deadlineMs: Ms, requestId?: string): Promise<RequestResult | 'gone'>;
}

/** Forwarder of an entry VM without links: every other incarnation is gone. */
export const nullKeyForwarder: KeyForwarder = {
	async forward() {
		return 'gone';
	},
};
