import type {Buffer} from 'node:buffer';
import {GuavamillError} from '../errors/index.js';
import {GrowingBuffer} from './growing-buffer.js';

/**
 * Reads a body into one block of memory. Throws if it exceeds `maxBytes` or cannot be read to its end.
 *
 * @example
 * const text = (await readBounded(res.body, 1024 * 1024)).toString('utf8');
 */
export async function readBounded(body: AsyncIterable<Uint8Array>, maxBytes: number): Promise<Buffer> {
	const buffer = GrowingBuffer.create();
	for await (const chunk of body) {
		if (buffer.length + chunk.length > maxBytes) {
			throw new GuavamillError(`Cannot read a body: it exceeds ${maxBytes} bytes`);
		}

		buffer.append(chunk);
	}

	return buffer.bytes;
}
