import {createHash} from 'node:crypto';
import type {IdempotencyKey} from './claim-service.js';

/** 22 base64url characters hold 132 bits, which makes collisions negligible. */
const hashLength = 22;

/**
 * Hashes the identity of a request: team, pipeline, key and not-after time. The attempt and body hash are not part of it.
 *
 * @internal
 */
export function hashIdempotencyKey(key: Pick<IdempotencyKey, 'team' | 'pipeline' | 'key' | 'notAfterMs'>): string {
	return createHash('sha256')
		.update(JSON.stringify([key.team, key.pipeline, key.key, key.notAfterMs]))
		.digest('base64url')
		.slice(0, hashLength);
}
