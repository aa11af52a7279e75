import type {HttpHeaders} from './relay-codec.js';

/** How the end of a body is declared: by a last chunk, by a length, which may be none, or not at all, so that it ends with its connection. */
export type BodyFraming = 'chunked' | 'length' | 'connection';

/** How a body ended that its sender did not break off as far as the receiver can tell: with its last chunk, its length, or an orderly end of the connection. */
export type WholeBodyEnd = 'last_chunk' | 'length' | 'connection_end';

/**
 * How the end of a body is known, so that the caller may be told of it: its sender declared it, or ended the connection in
 * order and is known not to have died of it. The kernel ends the connections of a dead process in order as well.
 */
export type KnownBodyEnd = Exclude<WholeBodyEnd, 'connection_end'> | 'confirmed_end';

/** How a body ended: as its framing says, or before, by an early end or a reset of the connection or another failure. */
export type BodyEnd = WholeBodyEnd | KnownBodyEnd | 'early_end' | 'reset' | 'failed';

const statusesWithoutBody: ReadonlySet<number> = new Set([204, 304]);

/**
 * Whether a response has no body whatever its headers say (RFC 9112, section 6.3).
 *
 * @example
 * isBodiless('HEAD', 200); // true
 */
export function isBodiless(method: string, status: number): boolean {
	return method === 'HEAD' || statusesWithoutBody.has(status);
}

/**
 * Returns how the end of a response's body is declared.
 *
 * @example
 * framingOf({method: 'GET', status: 200, headers: {'content-length': '12'}}); // 'length'
 */
export function framingOf({method, status, headers}: {method: string; status: number; headers: HttpHeaders}): BodyFraming {
	if (isBodiless(method, status)) {
		return 'length';
	}

	if (headers['transfer-encoding'] !== undefined) {
		return 'chunked';
	}

	return headers['content-length'] === undefined ? 'connection' : 'length';
}
