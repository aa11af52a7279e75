type LogLine = {time: string; process: string; part: string; level: string; message: string} & Record<string, unknown>;

/** Fields that `format` prints in the prefix of a line or leaves out, instead of as `name=value`. */
const prefixFields: ReadonlySet<string> = new Set(['time', 'process', 'part', 'level', 'message', 'id', 'ids']);
/** Messages that report a change of a process's state, shown as context before the next line about the request. */
const stateChangeMessages: ReadonlySet<string> = new Set(['Applied a version.', 'Lost the store.', 'Regained the store.', 'Lost a link.', 'Draining.']);

/**
 * Returns the log lines of several processes that concern a request, ordered by time. Each is preceded by the latest
 * state change of its process, if not already shown. Text before the JSON object of a line is ignored. With `json`, the
 * returned lines are JSON objects; otherwise they are formatted as text.
 *
 * @example
 * explainRequest('6f0c21d38a7be945', text.split('\n'));
 */
export function explainRequest(id: string, lines: readonly string[], {json = false}: {json?: boolean} = {}): string[] {
	const parsedLines = lines.flatMap(line => parse(line) ?? []).toSorted((a, b) => a.time < b.time ? -1 : (a.time > b.time ? 1 : 0));
	const latestStateChanges = new Map<string, LogLine>();
	const explained: string[] = [];
	for (const line of parsedLines) {
		if (stateChangeMessages.has(line.message)) {
			latestStateChanges.set(line.process, line);
		}

		if (line.id === id || (Array.isArray(line.ids) && line.ids.includes(id))) {
			const stateChange = latestStateChanges.get(line.process);
			if (stateChange) {
				explained.push(json ? JSON.stringify(stateChange) : `  before: ${format(stateChange)}`);
				latestStateChanges.delete(line.process);
			}

			explained.push(json ? JSON.stringify(line) : format(line));
		}
	}

	return explained;
}

function parse(line: string): LogLine | undefined {
	const start = line.indexOf('{');
	if (start === -1) {
		return undefined;
	}

	try {
		const value = JSON.parse(line.slice(start)) as Partial<LogLine>;
		return typeof value.time === 'string' && typeof value.process === 'string' && typeof value.message === 'string' ? value as LogLine : undefined;
	} catch {
		// The input may contain lines of other programs.
		return undefined;
	}
}

function format(line: LogLine): string {
	const fields = Object.entries(line)
		.filter(([name]) => !prefixFields.has(name))
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [line.time, line.process, `[${line.part}]`, line.message, ...fields].join(' ');
}
