type LogLine = {time: string; process: string; part: string; level: string; message: string} & Record<string, unknown>;

/** Fields that stand in front of each explained line. */
const headFields: ReadonlySet<string> = new Set(['time', 'process', 'part', 'level', 'message', 'id', 'ids']);
/** Changes of what a process believes, shown where they come before a decision on the request. */
const beliefs: ReadonlySet<string> = new Set(['Applied a version.', 'Lost the store.', 'Regained the store.', 'Lost a link.', 'Draining.']);

/**
 * Returns what log lines of several processes say of a request, in the order of their times: each decision, and before
 * it the latest change of what its process believed. Text before the JSON of a line is skipped. With `json` each line is
 * JSON again.
 *
 * @example
 * explainRequest('6f0c21d38a7be945', text.split('\n'));
 */
export function explainRequest(id: string, lines: readonly string[], {json = false}: {json?: boolean} = {}): string[] {
	const parsed = lines.flatMap(line => parse(line) ?? []).toSorted((a, b) => a.time < b.time ? -1 : (a.time > b.time ? 1 : 0));
	const latest = new Map<string, LogLine>();
	const explained: string[] = [];
	for (const line of parsed) {
		if (beliefs.has(line.message)) {
			latest.set(line.process, line);
		}

		if (line.id === id || (Array.isArray(line.ids) && line.ids.includes(id))) {
			const belief = latest.get(line.process);
			if (belief) {
				explained.push(json ? JSON.stringify(belief) : `  before: ${format(belief)}`);
				latest.delete(line.process);
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
		// Lines of other programs stand in the same files.
		return undefined;
	}
}

function format(line: LogLine): string {
	const facts = Object.entries(line)
		.filter(([name]) => !headFields.has(name))
		.map(([name, value]) => `${name}=${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return [line.time, line.process, `[${line.part}]`, line.message, ...facts].join(' ');
}
