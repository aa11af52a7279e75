import type {Clock, Ms} from '../clock/index.js';
import type {ConnectionReset, EndedConnection} from './ended-connection.js';
import {
	judgeResponseEnd, mayBeResetLater, type EndedResponse, type ResponseEndVerdict,
} from './judge-response-end.js';

/** First interval of the checks for a reset, which doubles up to the longest one: a reset arrives mostly within the first few ms. */
const checkIntervalMs: Ms = 5;
const maxCheckIntervalMs: Ms = 20;

/** The end of a connection. */
export interface ConnectionEnd {
	readonly connection: EndedConnection;
	/** Result of the check made when the end arrived. */
	readonly reset: Promise<ConnectionReset>;
}

/** How the end of a response was judged, and how long after the end of its connection. */
export interface WatchedEnd {
	readonly verdict: Exclude<ResponseEndVerdict, 'undecided'>;
	readonly waitedMs: Ms;
}

/**
 * Resolves with whether a response is whole whose connection has ended. If a reset may still arrive, the connection is
 * held meanwhile, and what is left of the request is written. To be called while the end is handled.
 *
 * @example
 * const {verdict} = await watchResponseEnd({connection, reset}, {end: 'connection_end', status: 200, requestBytes: 10}, clock);
 */
export async function watchResponseEnd({connection, reset}: ConnectionEnd, response: Pick<EndedResponse, 'end' | 'status' | 'requestBytes'>, clock: Clock): Promise<WatchedEnd> {
	const endedMs = clock.now();
	// Only the intervals between checks count: on a loaded machine this process may be suspended, and the target as well.
	let sinceEndMs: Ms = 0;
	let sinceAcceptedMs: Ms | undefined;
	let latest: ConnectionReset = 'none';
	const recordAccepted = async () => {
		latest = await reset;
		sinceAcceptedMs = 0;
	};

	const accepted = recordAccepted();
	if (mayBeResetLater(response)) {
		connection.hold();
	} else {
		await accepted;
	}

	try {
		for (let intervalMs = checkIntervalMs; ; intervalMs = Math.min(maxCheckIntervalMs, 2 * intervalMs)) {
			const verdict = judgeResponseEnd({
				...response, reset: latest, sinceEndMs, sinceAcceptedMs,
			});
			if (verdict !== 'undecided') {
				return {verdict, waitedMs: clock.now() - endedMs};
			}

			const wasAccepted = sinceAcceptedMs !== undefined;
			await clock.sleep(intervalMs);
			sinceEndMs += intervalMs;
			if (wasAccepted) {
				latest = await connection.check();
				sinceAcceptedMs! += intervalMs;
			}
		}
	} finally {
		connection.release();
	}
}
