import {Buffer} from 'node:buffer';

/** Size of each block but the first, which is as large as what it is made for. */
const blockBytes = 64 * 1024;
const minBlockBytes = 512;

/**
 * Collects bytes in a few blocks of memory. A list of the chunks themselves would cost an object for each, and keep the
 * whole block that a small chunk was read into.
 *
 * @example
 * buffer.append(chunk);
 * res.end(buffer.bytes);
 */
export class GrowingBuffer {
	/** With `expectedBytes`, so many are collected in one block, and not copied in the end. */
	static create(expectedBytes = 0): GrowingBuffer {
		return new GrowingBuffer(expectedBytes);
	}

	#blocks: Buffer[] = [];
	/** Bytes used of the last block. */
	#used = 0;
	#length = 0;
	#capacity = 0;

	private constructor(private readonly expectedBytes: number) {}

	get length(): number {
		return this.#length;
	}

	/** Bytes of memory in use. */
	get capacity(): number {
		return this.#capacity;
	}

	/** The collected bytes; they do not change when more are appended. */
	get bytes(): Buffer {
		const last = this.#blocks.at(-1)?.subarray(0, this.#used);
		if (!last) {
			return Buffer.alloc(0);
		}

		return this.#blocks.length === 1 ? last : Buffer.concat([...this.#blocks.slice(0, -1), last]);
	}

	/** Returns the collected bytes in no more memory than twice their length. */
	trim(): Buffer {
		const {bytes} = this;
		return this.#blocks.length === 1 && this.#capacity > 2 * bytes.length ? Buffer.from(bytes) : bytes;
	}

	append(chunk: Uint8Array): void {
		let offset = 0;
		while (offset < chunk.length) {
			const missing = chunk.length - offset;
			const last = this.#blocks.at(-1);
			if (!last || this.#used === last.length) {
				const size = last ? Math.max(blockBytes, missing) : Math.max(this.expectedBytes, minBlockBytes, missing);
				this.#blocks.push(Buffer.allocUnsafe(size));
				this.#capacity += size;
				this.#used = 0;
				continue;
			}

			const count = Math.min(missing, last.length - this.#used);
			last.set(chunk.subarray(offset, offset + count), this.#used);
			this.#used += count;
			offset += count;
		}

		this.#length += chunk.length;
	}

	/** Lets go of the collected bytes. */
	clear(): void {
		this.#blocks = [];
		this.#used = 0;
		this.#length = 0;
		this.#capacity = 0;
	}
}
