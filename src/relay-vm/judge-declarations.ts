import {isDeepStrictEqual} from 'node:util';
import type {RelayDeclarations} from '../routes/index.js';

/** What to do with a configuration that was read: `apply` it, or skip it as `older` than the one in force or the `same`. */
export type DeclarationsVerdict = 'apply' | 'older' | 'same';

/**
 * Judges a configuration that was read after the one in force. Versions order configurations, also across the histories
 * of a restored store: an older one never replaces a newer one. Of two with the same version the one read last counts,
 * since the store gives it to every entry VM that starts from now on.
 *
 * @example
 * judgeDeclarations(current, read);
 */
export function judgeDeclarations(current: RelayDeclarations | undefined, read: RelayDeclarations): DeclarationsVerdict {
	if (!current || read.version > current.version) {
		return 'apply';
	}

	if (read.version < current.version) {
		return 'older';
	}

	return isDeepStrictEqual(read, current) ? 'same' : 'apply';
}
