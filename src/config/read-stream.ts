import {
	type LogRecord, type LogStream, type PlatformLog, LogUnavailableError,
} from '../log/index.js';

/**
 * Reads every readable record of a stream. Throws when records expire while it reads, so that the result has no hole.
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
