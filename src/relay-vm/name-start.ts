import type {RelayTarget} from '../registry/index.js';

/**
 * Names a start of a target: its id and the time of the start, in ms since 1970.
 *
 * @example
 * nameStart(target); // 'engine-1 1700000000000'
 */
export function nameStart({id, entry: {startedMs}}: RelayTarget): string {
	return `${id} ${startedMs ?? ''}`;
}
