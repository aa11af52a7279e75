/**
 * One fault found in some input, with its place.
 *
 * `place` names a flag, a variable, a file with line, or a path inside a message.
 */
export interface Finding {
	readonly place: string;
	readonly message: string;
	readonly value?: string;
}

/** Formats a finding on one line: `place: message (value)`. */
export function formatFinding(finding: Finding): string {
	const value = finding.value === undefined ? '' : ` (got ${finding.value})`;
	return `${finding.place}: ${finding.message}${value}`;
}
