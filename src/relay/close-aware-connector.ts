import {buildConnector} from 'undici';
import type {Ms} from '../clock/index.js';

/** Connect timeout; the slowest round trips between regions take about 40 ms. */
const connectTimeoutMs: Ms = 400;

/** Close event that undici is handling: none, an orderly end by the target, or an error such as a reset. */
export type ConnectionCloseEvent = 'none' | 'ended' | 'failed';

let closeEvent: ConnectionCloseEvent = 'none';

/**
 * Returns the close event of a connection that is being handled in this tick. undici reports a response on a connection
 * without keep-alive as complete when the connection ends or is reset, although the response may be truncated.
 *
 * @internal
 */
export function currentCloseEvent(): ConnectionCloseEvent {
	return closeEvent;
}

const connect = buildConnector({timeout: connectTimeoutMs});

/**
 * Opens connections whose close events are reported by `currentCloseEvent` while undici handles them.
 *
 * @internal
 */
export const connectCloseAware: buildConnector.connector = (options, callback) => {
	connect(options, (...args: buildConnector.CallbackArgs) => {
		const socket = args[1];
		// Registered before undici's own listeners, so that the event is set when those run.
		socket?.on('error', () => {
			setCloseEvent('failed');
		});
		socket?.on('end', () => {
			setCloseEvent('ended');
		});
		callback(...args);
	});
};

function setCloseEvent(event: ConnectionCloseEvent): void {
	closeEvent = event;
	queueMicrotask(() => {
		closeEvent = 'none';
	});
}
