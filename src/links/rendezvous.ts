import {createHash} from 'node:crypto';

/**
 * Ranks names for a key by rendezvous hashing, highest score first. Adding or removing a name keeps the order of the
 * others.
 *
 * @example
 * rankByRendezvous('gateway riga-a', ['riga-1', 'riga-2']).slice(0, 2);
 */
export function rankByRendezvous(key: string, names: readonly string[]): string[] {
	return names
		.map(name => ({name, score: createHash('sha256').update(`${key}\0${name}`).digest().readBigUInt64BE()}))
		.toSorted((a, b) => a.score === b.score ? a.name.localeCompare(b.name) : (a.score < b.score ? 1 : -1))
		.map(({name}) => name);
}
