import type {ServerResponse} from 'node:http';
import {mayBeFollowed} from '../http/index.js';
import {isBodiless} from './body-framing.js';
import type {TargetResponse} from './target-attempt.js';

/** Options of {@link writeResponseHead}. */
export interface ResponseHeadOptions {
	readonly isClosing: boolean;
	/** Size of the body if it is known as a whole. */
	readonly bytes?: number;
	/** Headers that tell another entry VM that the end of a response is not declared; `undefined` for a caller. */
	readonly undeclaredEnd?: Readonly<Record<string, string>> | undefined;
}

/**
 * Writes the status and headers of a target's response to the caller. A body delimited only by the close of the
 * connection is forwarded with the same framing: a `Content-Length` set by the relay would claim that the body is
 * complete, which the relay cannot know. Another entry VM gets it delimited, so that it knows whether this one has sent
 * it to its end, and is told that its end is not declared.
 */
export function writeResponseHead(res: ServerResponse, {status, head, framing}: Pick<TargetResponse, 'status' | 'head' | 'framing'>, {isClosing, bytes, undeclaredEnd}: ResponseHeadOptions): void {
	const isUndeclared = framing === 'connection';
	const isDelimited = !isUndeclared || undeclaredEnd !== undefined;
	if (!isDelimited) {
		res.useChunkedEncodingByDefault = false;
	}

	res.writeHead(status, {
		...head.forwardedHeaders,
		...(isUndeclared ? undeclaredEnd : {}),
		...(isDelimited && bytes !== undefined && !isBodiless(res.req.method!, status) ? {'content-length': bytes} : {}),
		...((isClosing && !mayBeFollowed(res)) || !isDelimited ? {connection: 'close'} : {}),
	});
}
