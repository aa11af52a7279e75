import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {GuavamillError} from '../errors/index.js';

/** The body of an HTTP request was too large or not JSON. */
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
 * Reads a request's body as JSON; throws `BodyError` past `maxBytes` or where it does not parse.
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
		const parts: Uint8Array[] = [];
		let size = 0;
		req.on('data', (part: Uint8Array) => {
			size += part.length;
			if (size > maxBytes) {
				req.pause();
				reject(BodyError.create('too_large', `Cannot read the body: it is larger than ${maxBytes} bytes`));
				return;
			}

			parts.push(part);
		});
		req.on('end', () => {
			resolve(Buffer.concat(parts).toString('utf8'));
		});
		req.on('error', () => {
			reject(BodyError.create('aborted', 'Cannot read the body: the connection broke'));
		});
		req.on('close', () => {
			if (req.complete) {
				return;
			}

			reject(BodyError.create('aborted', 'Cannot read the body: the connection closed'));
		});
	});
}
