import type {ServerResponse} from 'node:http';

/** Part of a socket of Node.js with the bytes that were handed to the operating system and not taken yet. */
interface QueuedSocket {
	readonly _handle?: {readonly writeQueueSize?: number} | undefined;
}

/**
 * Returns the bytes of a response that the operating system has not taken yet. Node.js counts a body that is written at once
 * as unsent until all of it is taken; only the queue of the handle below shows how far it has got.
 */
export function unsentBytes({socket, writableLength}: ServerResponse): number {
	const queued: QueuedSocket = (socket ?? {}) as QueuedSocket;
	return queued._handle?.writeQueueSize ?? writableLength;
}
