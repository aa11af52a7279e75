/** What a status line begins: an informational response before the actual one, the actual one, or nothing that HTTP knows. */
export type StatusClass = 'informational' | 'final' | 'invalid';

/** Bounds of the statuses of HTTP (RFC 9110, section 15), and the first of a response that is not informational. */
const [minStatus, minFinalStatus, maxStatus] = [100, 200, 599];

/**
 * Classifies a status. A response with an invalid one must not reach a caller: whether the request was run cannot be told.
 *
 * @example
 * classifyStatus(600); // 'invalid'
 */
export function classifyStatus(status: number): StatusClass {
	if (!(status >= minStatus && status <= maxStatus)) {
		return 'invalid';
	}

	return status < minFinalStatus ? 'informational' : 'final';
}
