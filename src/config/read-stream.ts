import {
	type LogRecord, type LogStream, type PlatformLog, LogUnavailableError,
} from '../platform-log/index.js';

/**
 * Reads all retained records of a stream. Throws if records expire during the read, so that the result has no gaps.
 *
 * @internal
 */
export async function readStream(log: PlatformLog, stream: LogStream, signal: AbortSignal): Promise<{earliest: number; records: LogRecord[]}> {
	const first = await log.read(stream, 0, {signal});
	const records = [...first.records];
	let next = first.earliest + first.records.length;
	let end = first.next;
	while (next < end) {
		const page = await log.read(stream, next, {signal});
		if (page.earliest > next || page.records.length === 0) {
			throw new LogUnavailableError(`Cannot read stream ${stream}: records expired during the read`);
		}

		records.push(...page.records);
		next += page.records.length;
		end = page.next;
	}

	return {earliest: first.earliest, records};
}
