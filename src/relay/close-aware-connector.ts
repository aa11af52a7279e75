import {buildConnector} from 'undici';
import type {Ms} from '../clock/index.js';
import {EndedConnection} from './ended-connection.js';
import type {ConnectionEnd} from './watch-response-end.js';

/** Close event of a connection that is being handled: none, its end, or an error such as a reset. */
export type ConnectionCloseEvent =
	| {readonly kind: 'none' | 'failed'}
	/** Node.js reports an end also where a reset has arrived together with the last data; `reset` tells them apart. */
	| ({readonly kind: 'ended'} & ConnectionEnd);

const noEvent: ConnectionCloseEvent = {kind: 'none'};
let closeEvent: ConnectionCloseEvent = noEvent;

/**
 * Returns the close event of a connection that is being handled in this tick. undici reports a response on a connection
 * without keep-alive as complete when the connection ends or is reset, although the response may be truncated.
 *
 * @internal
 */
export function currentCloseEvent(): ConnectionCloseEvent {
	return closeEvent;
}

/**
 * Returns a connector for undici whose connections' close events are reported by `currentCloseEvent` while undici handles
 * them.
 *
 * @example
 * const pool = new Pool(origin, {connect: createCloseAwareConnector(400)});
 */
export function createCloseAwareConnector(connectTimeoutMs: Ms): buildConnector.connector {
	const connect = buildConnector({timeout: connectTimeoutMs});
	return (options, callback) => {
		connect(options, (...args: buildConnector.CallbackArgs) => {
			const socket = args[1];
			// Registered before undici's own listeners, so that the event is set when those run.
			socket?.on('error', () => {
				setCloseEvent({kind: 'failed'});
			});
			socket?.on('end', () => {
				const connection = EndedConnection.create(socket);
				setCloseEvent({kind: 'ended', connection, reset: connection.check()});
			});
			callback(...args);
		});
	};
}

function setCloseEvent(event: ConnectionCloseEvent): void {
	closeEvent = event;
	queueMicrotask(() => {
		closeEvent = noEvent;
	});
}
