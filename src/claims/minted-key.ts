import {randomBytes} from 'node:crypto';
import type {Ms} from '../clock/index.js';

/** Parts of a key that an entry VM minted. */
export interface MintedKey {
	/** Wall-clock ms since 1970 after which the key can no longer run. */
	readonly notAfterMs: Ms;
	/** Incarnation of the entry VM that minted the key and alone may run it. */
	readonly incarnation: string;
}

const pattern = /^k1\.(?<notAfter>\d{1,16})\.(?<incarnation>[\w-]{1,64})\.(?<random>[\w-]{1,64})$/;

/** Mints a key `k1.<notAfterMs>.<incarnation>.<random>`. */
export function mintKey(incarnation: string, notAfterMs: Ms): string {
	return `k1.${Math.floor(notAfterMs)}.${incarnation}.${randomBytes(12).toString('base64url')}`;
}

/** Reads a minted key; `undefined` for any other key. */
export function parseMintedKey(key: string): MintedKey | undefined {
	const groups = pattern.exec(key)?.groups;
	return groups ? {notAfterMs: Number(groups.notAfter), incarnation: groups.incarnation!} : undefined;
}
