import {Buffer} from 'node:buffer';
import {GuavamillError} from '../errors/index.js';

/** Minimum key length. A shorter key could be found by an offline brute-force attack on one recorded handshake. */
export const minLinkKeyBytes = 16;

/** Secret key shared by all entry VMs of a deployment. The secret is omitted when the key is printed or serialized. */
export class LinkKey {
	/** Creates a key from a secret text. Throws `GuavamillError` if it has fewer than `minLinkKeyBytes` bytes in UTF-8. */
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

	/** Returns the secret bytes, for use as an HMAC key. */
	reveal(): Uint8Array {
		return this.#bytes;
	}

	/** Whether another key has the same secret. */
	equals(other: LinkKey): boolean {
		return this.#bytes.equals(other.reveal());
	}

	toString(): string {
		return '[link key]';
	}

	toJSON(): string {
		return '[link key]';
	}
}
