import {randomBytes} from 'node:crypto';
import type {Ms} from '../clock/index.js';

/** Contents of a key that an entry VM minted. */
export interface MintedKey {
	/** Wall-clock time, in ms since 1970, after which a request with the key must not run any more. */
	readonly notAfterMs: Ms;
	/** Incarnation of the entry VM that minted the key; only this incarnation may run requests with it. */
	readonly incarnation: string;
}

const pattern = /^k1\.(?<notAfter>\d{1,16})\.(?<incarnation>[\w-]{1,64})\.(?<random>[\w-]{1,64})$/;

/** Mints a key of the form `k1.<notAfterMs>.<incarnation>.<random>`. */
export function mintKey(incarnation: string, notAfterMs: Ms): string {
	return `k1.${Math.floor(notAfterMs)}.${incarnation}.${randomBytes(12).toString('base64url')}`;
}

/** Parses a minted key; returns `undefined` for any other key. */
export function parseMintedKey(key: string): MintedKey | undefined {
	const groups = pattern.exec(key)?.groups;
	return groups ? {notAfterMs: Number(groups.notAfter), incarnation: groups.incarnation!} : undefined;
}
