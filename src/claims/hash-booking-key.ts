import {createHash} from 'node:crypto';
import type {BookingKey} from './claim-service.js';

/** 22 characters of base64url hold 132 bits, so that two bookings never share a hash in practice. */
const hashLength = 22;

/**
 * Hash of a booking's identity: team, pipeline, key and not-after time. The attempt and the body are not part of it.
 *
 * @internal
 */
export function hashBookingKey(key: Pick<BookingKey, 'team' | 'pipeline' | 'key' | 'notAfterMs'>): string {
	return createHash('sha256')
		.update(JSON.stringify([key.team, key.pipeline, key.key, key.notAfterMs]))
		.digest('base64url')
		.slice(0, hashLength);
}
