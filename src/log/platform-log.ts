import type {Ms} from '../clock/index.js';
import {GuavamillError} from '../errors/index.js';

/** Streams of the platform's log that guavamill uses. */
export type LogStream = 'config' | 'claims' | 'leases';

/** One record of a stream. `atMs` is the append time by the log's own wall clock, in ms since 1970. */
export interface LogRecord {
	readonly offset: number;
	readonly atMs: Ms;
	readonly record: unknown;
}

/** One page of a stream. `earliest` is the lowest readable offset; `next` follows the last record of the stream. */
export interface LogPage {
	readonly earliest: number;
	readonly next: number;
	readonly records: readonly LogRecord[];
}

/** Options of a read. The call waits up to `waitMs` for the first record at or after the offset. */
export interface ReadOptions {
	readonly max?: number;
	readonly waitMs?: Ms;
	readonly signal?: AbortSignal;
}

/**
 * Append-only log of the platform: per stream, records in one total order by offset, kept for a limited time.
 *
 * Errors: `LogUnavailableError` when the records were certainly not appended; `LogTimeoutError` when they may be
 * appended, now or later.
 */
export interface PlatformLog {
	/** Appends the records in order, adjacent to each other; returns the offset of the first. */
	append(stream: LogStream, records: readonly unknown[], options?: {timeoutMs?: Ms}): Promise<{offset: number}>;
	/** Reads records from an offset on. A `from` below `earliest` returns the records from `earliest`. */
	read(stream: LogStream, from: number, options?: ReadOptions): Promise<LogPage>;
}

/** The log refused or was not reached: nothing was appended. */
export class LogUnavailableError extends GuavamillError {
	override name = 'LogUnavailableError';
}

/** The log did not answer: the append may have taken effect, or may still do so. */
export class LogTimeoutError extends GuavamillError {
	override name = 'LogTimeoutError';
}
