import {Buffer} from 'node:buffer';
import {GuavamillError} from '../errors/index.js';

/** Fewer bytes could be guessed from one recorded handshake. */
export const minLinkKeyBytes = 16;

/** The shared key of all entry VMs of a deployment; printing or serializing it shows no key. */
export class LinkKey {
	/** Creates a key from a secret text of at least 16 bytes. */
	static create(secret: string): LinkKey {
		const bytes = Buffer.from(secret, 'utf8');
		if (bytes.length < minLinkKeyBytes) {
			throw new GuavamillError(`Cannot use the link key: it has fewer than ${minLinkKeyBytes} bytes`);
		}

		return new LinkKey(bytes);
	}

	readonly #bytes: Buffer;

	private constructor(bytes: Buffer) {
		this.#bytes = bytes;
	}

	/** The key for HMAC. */
	reveal(): Uint8Array {
		return this.#bytes;
	}

	toString(): string {
		return '[link key]';
	}

	toJSON(): string {
		return '[link key]';
	}
}
