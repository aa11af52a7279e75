import type {ServerResponse} from 'node:http';
import type {WholeAnswer} from './target-attempt.js';

/**
 * Writes the head of a target's answer to its caller. An answer that only the end of its connection ends is passed on
 * the same way: a length of the relay's own would say that it is whole, which the relay cannot know.
 */
export function writeAnswerHead(res: ServerResponse, {status, head, isFramed}: Pick<WholeAnswer, 'status' | 'head' | 'isFramed'>, options: {isClosing: boolean; bytes?: number}): void {
	res.useChunkedEncodingByDefault = isFramed;
	res.writeHead(status, {
		...head.passed,
		...(isFramed && options.bytes !== undefined ? {'content-length': options.bytes} : {}),
		...(options.isClosing || !isFramed ? {connection: 'close'} : {}),
	});
}
