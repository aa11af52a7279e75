import type {Socket} from 'node:net';
import {buildConnector} from 'undici';
import type {Ms} from '../clock/index.js';

/** Longest time to open a connection; the slowest paths between regions need about 40 ms. */
const connectTimeoutMs: Ms = 400;

let isResetting = false;

/**
 * True while the error of a reset connection is being handled. undici ends an answer without a length as complete when
 * its connection is reset; such an answer is not whole.
 *
 * @internal
 */
export function isConnectionResetting(): boolean {
	return isResetting;
}

const connect = buildConnector({timeout: connectTimeoutMs});

/**
 * Opens connections whose resets can be told from their ends.
 *
 * @internal
 */
export const connectResetAware: buildConnector.connector = (options, callback) => {
	connect(options, (...args: buildConnector.CallbackArgs) => {
		const socket = args[1] as Socket | null;
		// This listener is the first one, so it runs before undici's own.
		socket?.on('error', () => {
			isResetting = true;
			queueMicrotask(() => {
				isResetting = false;
			});
		});
		callback(...args);
	});
};
