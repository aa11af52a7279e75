import type {ServerResponse} from 'node:http';
import {mayBeFollowed} from '../http/index.js';
import {isBodiless} from './body-framing.js';
import type {TargetResponse} from './target-attempt.js';

/** Options of {@link writeResponseHead}. */
export interface ResponseHeadOptions {
	readonly isClosing: boolean;
	/** Size of the body if it is known as a whole. */
	readonly bytes?: number;
}

/**
 * Writes the status and headers of a target's response to the caller, who gets the body delimited, by its length or in
 * chunks, however the target framed it: the kernel ends the connections of a killed process in order, so that a body that
 * ends with its connection would look complete. Only callers of HTTP/1.0 get a stream that ends with its connection.
 */
export function writeResponseHead(res: ServerResponse, {status, head}: Pick<TargetResponse, 'status' | 'head'>, {isClosing, bytes}: ResponseHeadOptions): void {
	res.writeHead(status, {
		...head.forwardedHeaders,
		...(bytes !== undefined && !isBodiless(res.req.method!, status) ? {'content-length': bytes} : {}),
		...(isClosing && !mayBeFollowed(res) ? {connection: 'close'} : {}),
	});
}
