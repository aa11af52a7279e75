import type {Ms} from '../clock/index.js';
import {GuavamillError} from '../errors/index.js';

/** Streams of the platform log that guavamill uses. */
export type LogStream = 'config' | 'claims' | 'leases';

/** One record of a stream. `atMs` is the append time on the log's wall clock, in ms since 1970. */
export interface LogRecord {
	readonly offset: number;
	readonly atMs: Ms;
	readonly record: unknown;
}

/** One page of a stream. `earliest` is the lowest retained offset; `next` is the offset after the last record of the stream. */
export interface LogPage {
	readonly earliest: number;
	readonly next: number;
	readonly records: readonly LogRecord[];
}

/** Options of a read. When there is no record at or after `from`, the call waits up to `waitMs` for one. */
export interface ReadOptions {
	readonly max?: number;
	readonly waitMs?: Ms;
	readonly signal?: AbortSignal;
}

/**
 * Append-only log of the platform. The records of a stream are totally ordered by offset and retained for a limited
 * time.
 *
 * An append rejects with `LogUnavailableError` when the records were not appended, and with `LogTimeoutError` when the
 * outcome is unknown: the records may have been appended, or may still be.
 */
export interface PlatformLog {
	/** Appends the records in order at consecutive offsets; returns the offset of the first. */
	append(stream: LogStream, records: readonly unknown[], options?: {timeoutMs?: Ms}): Promise<{offset: number}>;
	/** Reads records starting at offset `from`, or at `earliest` when `from` has expired. */
	read(stream: LogStream, from: number, options?: ReadOptions): Promise<LogPage>;
}

/** The log was unreachable or rejected the request; nothing was appended. */
export class LogUnavailableError extends GuavamillError {
	override name = 'LogUnavailableError';
}

/** The log did not respond in time or gave an invalid response; the append may have taken effect, or may still do so. */
export class LogTimeoutError extends GuavamillError {
	override name = 'LogTimeoutError';
}
