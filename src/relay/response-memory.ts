import type {PartLogger} from '../logging/index.js';

/** Memory of one response, which is given back with `release`. */
export interface MemoryLease {
	/** Sets the number of bytes in use. */
	set(bytes: number): void;
	release(): void;
}

/** Options of {@link ResponseMemory}. */
export interface ResponseMemoryOptions {
	readonly maxBytes: number;
	readonly logger: PartLogger;
}

type Holder = {bytes: number; readonly onExceeded: (() => void) | undefined};

/**
 * Bounds the memory of all responses that the process holds at a time. When it is used up, the largest response that is
 * still received is ended: one without end is soon the largest, and the others are spared.
 *
 * @example
 * const lease = memory.lease(() => attempt.abort());
 * lease.set(chunk.length);
 */
export class ResponseMemory {
	static create(options: ResponseMemoryOptions): ResponseMemory {
		return new ResponseMemory(options);
	}

	readonly #holders = new Set<Holder>();
	#bytes = 0;

	private constructor(private readonly options: ResponseMemoryOptions) {}

	/** Bytes in use. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Starts to count a response; one without `onExceeded` is complete and never ended. */
	lease(onExceeded?: () => void): MemoryLease {
		const holder: Holder = {bytes: 0, onExceeded};
		this.#holders.add(holder);
		return {
			set: bytes => {
				if (this.#holders.has(holder)) {
					const isMore = bytes > holder.bytes;
					this.#bytes += bytes - holder.bytes;
					holder.bytes = bytes;
					if (isMore) {
						this.#endExcess();
					}
				}
			},
			release: () => {
				if (this.#holders.delete(holder)) {
					this.#bytes -= holder.bytes;
				}
			},
		};
	}

	#endExcess(): void {
		const {maxBytes, logger} = this.options;
		while (this.#bytes > maxBytes) {
			let largest: Holder | undefined;
			for (const holder of this.#holders) {
				if (holder.onExceeded && holder.bytes > (largest?.bytes ?? 0)) {
					largest = holder;
				}
			}

			if (!largest) {
				return;
			}

			logger.warn('Ended the largest response: the memory for responses is used up.', {bytes: largest.bytes, total: this.#bytes, responses: this.#holders.size});
			this.#holders.delete(largest);
			this.#bytes -= largest.bytes;
			largest.onExceeded!();
		}
	}
}
