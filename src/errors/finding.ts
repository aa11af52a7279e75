/**
 * One validation error in an input, with its location.
 *
 * `place` is a flag, an environment variable, a file with a line number, or a field path in a message.
 */
export interface Finding {
	readonly place: string;
	readonly message: string;
	readonly value?: string;
}

/** Formats a finding on one line: `place: message (got value)`. */
export function formatFinding(finding: Finding): string {
	const value = finding.value === undefined ? '' : ` (got ${finding.value})`;
	return `${finding.place}: ${finding.message}${value}`;
}
