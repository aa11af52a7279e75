import type {DeclarationFinding} from './declaration-finding.js';

/** Formats a finding on one line: `severity: file:line key path: message`. */
export function formatDeclarationFinding(finding: DeclarationFinding): string {
	const location = finding.file === undefined ? '' : `${finding.file}:${finding.line ?? 1}`;
	const subject = [location, finding.key, finding.path].filter(part => part !== '').join(' ');
	return `${finding.severity}: ${subject}: ${finding.message}`;
}
