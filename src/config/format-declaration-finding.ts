import type {DeclarationFinding} from './declaration-finding.js';

/** Formats a finding on one line: `file:line key path: message`. */
export function formatDeclarationFinding(finding: DeclarationFinding): string {
	const place = finding.file === undefined ? '' : `${finding.file}:${finding.line ?? 1}`;
	const where = [place, finding.key, finding.path].filter(part => part !== '').join(' ');
	return `${finding.severity}: ${where}: ${finding.message}`;
}
