import {formatFinding, type Finding} from './finding.js';
import {GuavamillError} from './guavamill-error.js';

/**
 * Error that reports all validation errors of one input together.
 *
 * @example
 * throw FindingsError.create('start', [{place: '--port', message: 'is not a port', value: '99999'}]);
 */
export class FindingsError extends GuavamillError {
	/** Creates the error. `act` completes the message "Cannot <act>". */
	static create(act: string, findings: readonly Finding[]): FindingsError {
		return new FindingsError(act, findings);
	}

	override name = 'FindingsError';

	private constructor(act: string, readonly findings: readonly Finding[]) {
		super(`Cannot ${act}: ${findings.length} ${findings.length === 1 ? 'finding' : 'findings'}\n${findings.map(finding => `  ${formatFinding(finding)}`).join('\n')}`);
	}
}
