import {buildConnector} from 'undici';
import type {Ms} from '../clock/index.js';

/** Longest time to open a connection; the slowest paths between regions need about 40 ms. */
const connectTimeoutMs: Ms = 400;

/** What is happening to a connection at this moment: its end by the target, or an error such as a reset. */
export type ConnectionClosing = 'none' | 'ended' | 'failed';

let closing: ConnectionClosing = 'none';

/**
 * Tells whether a connection is closing at this moment. undici takes an answer on a connection that is not kept for
 * complete when the connection ends or is reset; such an answer need not be whole.
 *
 * @internal
 */
export function connectionClosing(): ConnectionClosing {
	return closing;
}

const connect = buildConnector({timeout: connectTimeoutMs});

/**
 * Opens connections whose ends and failures can be told while undici handles them.
 *
 * @internal
 */
export const connectCloseAware: buildConnector.connector = (options, callback) => {
	connect(options, (...args: buildConnector.CallbackArgs) => {
		const socket = args[1];
		// These listeners are the first ones, so they run before undici's own.
		socket?.on('error', () => {
			setClosing('failed');
		});
		socket?.on('end', () => {
			setClosing('ended');
		});
		callback(...args);
	});
};

function setClosing(state: ConnectionClosing): void {
	closing = state;
	queueMicrotask(() => {
		closing = 'none';
	});
}
