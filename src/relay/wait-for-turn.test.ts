import {setImmediate as nextTurn} from 'node:timers/promises';
import {expect, it} from 'vitest';
import {waitForTurn} from './wait-for-turn.js';

// Guards against a response that closes its connection in a drain ahead of requests in a segment which is read only after
// the parsing of the one before it was deferred.
it.each(['unparsedBytes', 'isDeferred'])('leaves time to read on after the last deferred bytes (%s)', async state => {
	const connection = {
		hold: () => () => undefined, beginRequest: () => undefined, isHeld: false, unparsedBytes: state === 'unparsedBytes' ? 1 : 0, isDeferred: state === 'isDeferred',
	};
	let hasReturned = false;
	const [req, res] = [{}, {}];
	const connections = {hasToWait: () => true, waitForTurn: async () => true};
	const turn = waitForTurn(req as never, res as never, {connections: connections as never, connection: connection as never});
	const returned = turn.then(() => {
		hasReturned = true;
	});
	for (let count = 0; count < 5; count++) {
		await nextTurn();
	}

	Object.assign(connection, {unparsedBytes: 0, isDeferred: false});
	await nextTurn();
	expect(hasReturned).toBe(false);
	await returned;
});
