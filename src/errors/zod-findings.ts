import type {z} from 'zod';
import type {Finding} from './finding.js';

/**
 * Turns the issues of a zod error into findings. `prefix` names the place of the checked value.
 *
 * @example
 * zodFindings(result.error, 'body'); // [{place: 'body.team', message: '…'}]
 */
export function zodFindings(error: z.ZodError, prefix: string): Finding[] {
	return error.issues.map(issue => ({
		place: [prefix, ...issue.path.map(String)].filter(part => part !== '').join('.'),
		message: issue.message,
	}));
}
