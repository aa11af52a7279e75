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
	static create(): GrowingBuffer {
		return new GrowingBuffer();
	}

	#blocks: Buffer[] = [];
	/** Bytes used of the last block. */
	#used = 0;
	#length = 0;
	#capacity = 0;

	/** Size of the first block at least. */
	#reservedBytes = minBlockBytes;

	private constructor() {}

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

	/**
	 * Collects `totalBytes` in one block, which need not be copied in the end; the bytes so far move there. Memory that is
	 * only allocated may count as resident: with large pages, the first byte of 2 MiB takes them all, and the allocator
	 * hands out pages again that were written to before.
	 */
	reserve(totalBytes: number): void {
		const {bytes} = this;
		this.#reservedBytes = Math.max(minBlockBytes, totalBytes);
		if (bytes.length > 0 && totalBytes > this.#capacity) {
			this.clear();
			this.append(bytes);
		}
	}

	/** Gives back memory above twice the length of the collected bytes, and returns these. */
	trim(): Buffer {
		const {bytes} = this;
		if (this.#blocks.length <= 1 && this.#capacity <= 2 * bytes.length) {
			return bytes;
		}

		// Several blocks have been copied already.
		const trimmed = this.#blocks.length > 1 ? bytes : Buffer.from(bytes);
		this.#blocks = [trimmed];
		this.#used = trimmed.length;
		this.#capacity = trimmed.length;
		return trimmed;
	}

	append(chunk: Uint8Array): void {
		let offset = 0;
		while (offset < chunk.length) {
			const missing = chunk.length - offset;
			const last = this.#blocks.at(-1);
			if (!last || this.#used === last.length) {
				const size = last ? Math.max(blockBytes, missing) : Math.max(this.#reservedBytes, missing);
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
