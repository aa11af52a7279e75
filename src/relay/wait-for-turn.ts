import type {IncomingMessage, ServerResponse} from 'node:http';
import type {ConnectionTracker} from '../http/index.js';
import type {CallerConnection} from './caller-connection.js';

/**
 * Waits for the responses before this one on the same connection, of which no more is read meanwhile. Resolves to whether
 * the connection is still used then: a request is passed on only once its answer can follow.
 */
export async function waitForTurn(req: IncomingMessage, res: ServerResponse, {connections, connection}: {connections: ConnectionTracker; connection: CallerConnection}): Promise<boolean> {
	if (connections.hasToWait(res)) {
		const release = connection.hold();
		const isUsed = await connections.waitForTurn(req, res);
		release();
		if (!isUsed) {
			return false;
		}
	}

	connection.beginRequest();
	return true;
}
