/**
 * Base class of all errors that guavamill throws. Messages read `Cannot <act>: <state>`.
 *
 * @example
 * throw new GuavamillError('Cannot read the log: connection refused', {cause: err});
 */
export class GuavamillError extends Error {
	override name = 'GuavamillError';
}
