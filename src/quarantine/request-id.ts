import {createHash} from 'node:crypto';

/** Start of the id of a request; ids of prompt parts hold no colon. */
const prefix = 'request:';
/** Length of the digest in an id, in hexadecimal digits. */
const digestDigits = 32;

/** What makes a request the same as another one. */
export interface IdentifiedRequest {
	readonly method: string;
	readonly path: string;
	/** Name of the team; `undefined` on a public route. */
	readonly caller: string | undefined;
	readonly body: Uint8Array;
}

/**
 * Returns an id that a request shares with its repeats only. Among the parts of a suspicion it stands beside the ids of
 * prompt parts.
 *
 * @example
 * requestId({method: 'GET', path: '/status/7', caller: 'engravers', body}); // 'request:5d41402abc4b2a76b9719d911017c592'
 */
export function requestId({method, path, caller, body}: IdentifiedRequest): string {
	const digest = createHash('sha256').update(JSON.stringify([method, path, caller ?? null])).update('\n').update(body).digest('hex');
	return `${prefix}${digest.slice(0, digestDigits)}`;
}

/** Whether a part of a suspicion is a whole request instead of a part of prompts. */
export function isRequestId(part: string): boolean {
	return part.startsWith(prefix);
}
