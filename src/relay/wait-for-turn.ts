import type {IncomingMessage, ServerResponse} from 'node:http';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {isFollowed, type ConnectionTracker} from '../http/index.js';
import type {CallerConnection} from './caller-connection.js';

/** Turns of the event loop in which what has arrived meanwhile is read, and bound on those in which it is parsed. */
const turnsToRead = 2;
const maxTurns = 20;

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

		await parseNext(res, connection);
	}

	connection.beginRequest();
	return true;
}

/** Reads and parses on until it is known whether a request follows: the response must not close the connection then. */
async function parseNext(res: ServerResponse, connection: CallerConnection): Promise<void> {
	// The connection is read again only once what was received is parsed, which may be deferred.
	let idleTurns = 0;
	for (let turn = 0; turn < maxTurns && idleTurns < turnsToRead && !connection.isHeld && !isFollowed(res); turn++) {
		await nextTurn();
		idleTurns = connection.unparsedBytes > 0 || connection.isDeferred ? 0 : idleTurns + 1;
	}
}
