import type {Server} from 'node:http';
import type {Clock, Ms} from '../clock/index.js';
import {errorMessage} from '../errors/index.js';
import type {PartLogger} from '../logging/index.js';
import {retry, type RetrySchedule} from '../retry/index.js';
import {listen, type ListenAddress} from './listen.js';

/** Codes of errors that end by themselves: another process holds the address or the resources, or the address is not set up yet. */
const temporaryCodes: ReadonlySet<string> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL', 'EMFILE', 'ENFILE', 'ENOBUFS', 'ENOMEM']);
/** Errors of a server that listens are logged at most once in this interval. */
const errorLogIntervalMs: Ms = 1000;

/** Starts a server and returns its port, as `listen` does. */
export type Listen = (server: Server, address: ListenAddress) => Promise<number>;

/** Options of {@link listenWithRetry}. */
export interface ListenRetryOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly schedule: RetrySchedule;
	/** Ends the tries at once. */
	readonly signal?: AbortSignal | undefined;
	/** What the server is for, in log lines. */
	readonly purpose: string;
}

/**
 * Starts a server, with further tries while its address is in use, such as by an earlier process that still drains. Logs
 * each try, and errors of the server while it listens.
 *
 * @example
 * await listenWithRetry(server, address, {clock, logger, schedule, purpose: 'callers'});
 */
export async function listenWithRetry(server: Server, address: ListenAddress, {clock, logger, schedule, signal, purpose}: ListenRetryOptions): Promise<number> {
	let tries = 1;
	const port = await retry(async () => listen(server, address), {
		clock,
		schedule,
		signal,
		isTemporary,
		onRetry(failed) {
			tries = failed.tries + 1;
			logger.warn('Cannot listen yet; trying again soon.', {
				purpose, error: errorMessage(failed.err), tries: failed.tries, elapsed_ms: Math.round(failed.elapsedMs), next_in_ms: Math.round(failed.delayMs),
			});
		},
	});
	if (tries > 1) {
		logger.info('Listening after further tries.', {purpose, port, tries});
	}

	let loggedMs = -Infinity;
	server.on('error', err => {
		if (clock.now() - loggedMs >= errorLogIntervalMs) {
			loggedMs = clock.now();
			logger.error('Cannot accept a connection.', {purpose, port, error: err.message});
		}
	});
	return port;
}

function isTemporary(err: unknown): boolean {
	const code = ((err as Error).cause as NodeJS.ErrnoException | undefined)?.code;
	return code !== undefined && temporaryCodes.has(code);
}
