import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {GuavamillError} from '../errors/index.js';

/** Thrown when the body of an HTTP request is too large, is not valid JSON, or was not received completely. */
export class BodyError extends GuavamillError {
	static create(problem: 'too_large' | 'not_json' | 'aborted', message: string): BodyError {
		return new BodyError(problem, message);
	}

	override name = 'BodyError';

	private constructor(readonly problem: 'too_large' | 'not_json' | 'aborted', message: string) {
		super(message);
	}
}

/**
 * Reads the body of a request and parses it as JSON.
 *
 * @throws {BodyError} When the body exceeds `maxBytes`, is not valid JSON, or was not received completely.
 *
 * @example
 * const body = await readJsonBody(req, 1_048_576);
 */
export async function readJsonBody(req: IncomingMessage, maxBytes: number): Promise<unknown> {
	const text = await readText(req, maxBytes);
	try {
		return JSON.parse(text) as unknown;
	} catch (err) {
		throw BodyError.create('not_json', `Cannot read the body: ${(err as Error).message}`);
	}
}

async function readText(req: IncomingMessage, maxBytes: number): Promise<string> {
	if (Number(req.headers['content-length'] ?? 0) > maxBytes) {
		throw BodyError.create('too_large', `Cannot read the body: it is larger than ${maxBytes} bytes`);
	}

	return new Promise((resolve, reject) => {
		const chunks: Uint8Array[] = [];
		let size = 0;
		req.on('data', (chunk: Uint8Array) => {
			size += chunk.length;
			if (size > maxBytes) {
				req.pause();
				reject(BodyError.create('too_large', `Cannot read the body: it is larger than ${maxBytes} bytes`));
				return;
			}

			chunks.push(chunk);
		});
		req.on('end', () => {
			resolve(Buffer.concat(chunks).toString('utf8'));
		});
		req.on('error', () => {
			reject(BodyError.create('aborted', 'Cannot read the body: the connection failed'));
		});
		req.on('close', () => {
			if (req.complete) {
				return;
			}

			reject(BodyError.create('aborted', 'Cannot read the body: the connection closed'));
		});
	});
}
