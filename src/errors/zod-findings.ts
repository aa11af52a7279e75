import type {z} from 'zod';
import type {Finding} from './finding.js';

/**
 * Converts the issues of a zod error to findings. `prefix` is the location of the validated value.
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
