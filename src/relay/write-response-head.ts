import type {ServerResponse} from 'node:http';
import {mayBeFollowed} from '../http/index.js';
import type {TargetResponse} from './target-attempt.js';

/**
 * Writes the status and headers of a target's response to the caller. A body delimited only by the close of the
 * connection is forwarded with the same framing: a `Content-Length` set by the relay would claim that the body is
 * complete, which the relay cannot know.
 */
export function writeResponseHead(res: ServerResponse, {status, head, isFramed}: Pick<TargetResponse, 'status' | 'head' | 'isFramed'>, options: {isClosing: boolean; bytes?: number}): void {
	res.useChunkedEncodingByDefault = isFramed;
	res.writeHead(status, {
		...head.forwardedHeaders,
		...(isFramed && options.bytes !== undefined ? {'content-length': options.bytes} : {}),
		...((options.isClosing && !mayBeFollowed(res)) || !isFramed ? {connection: 'close'} : {}),
	});
}
