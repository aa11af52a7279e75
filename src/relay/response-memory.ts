import type {Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';

/** Time for which a caller may read a whole response in any case. */
const minDeliveryMs: Ms = 5000;

/** Memory of one response, which is given back with `release`. */
export interface MemoryLease {
	/** Sets the number of bytes in use. */
	set(bytes: number): void;
	release(): void;
}

/** Options of {@link ResponseMemory}. */
export interface ResponseMemoryOptions {
	readonly maxBytes: number;
	readonly clock: Pick<Clock, 'now'>;
	readonly logger: PartLogger;
}

type Holder = {
	bytes: number;
	readonly onExceeded: () => void;
	/** When its caller began to read it as a whole; `undefined` while it is received. */
	readonly deliveredFromMs: Ms | undefined;
};

/**
 * Bounds the memory of all responses that the process holds at a time. When it is used up, the one that its caller has
 * been reading for longest is ended, if that is long, else the largest response that is still received: one without end is
 * soon the largest, and the others are spared.
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

	/** Starts to count a response that is received. */
	lease(onExceeded: () => void): MemoryLease {
		return this.#lease({bytes: 0, onExceeded, deliveredFromMs: undefined});
	}

	/** Starts to count a whole response that its caller reads. */
	deliver(bytes: number, onExceeded: () => void): MemoryLease {
		const lease = this.#lease({bytes: 0, onExceeded, deliveredFromMs: this.options.clock.now()});
		lease.set(bytes);
		return lease;
	}

	#lease(holder: Holder): MemoryLease {
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
			const victim = this.#longestRead() ?? this.#largestReceived();
			if (!victim) {
				return;
			}

			logger.warn(victim.deliveredFromMs === undefined ? 'Ended the largest response: the memory for responses is used up.' : 'Ended the response that was read for longest: the memory for responses is used up.', {bytes: victim.bytes, total: this.#bytes, responses: this.#holders.size});
			this.#holders.delete(victim);
			this.#bytes -= victim.bytes;
			victim.onExceeded();
		}
	}

	#longestRead(): Holder | undefined {
		const latestMs = this.options.clock.now() - minDeliveryMs;
		let longest: Holder | undefined;
		for (const holder of this.#holders) {
			if (holder.deliveredFromMs !== undefined && holder.deliveredFromMs <= (longest?.deliveredFromMs ?? latestMs)) {
				longest = holder;
			}
		}

		return longest;
	}

	#largestReceived(): Holder | undefined {
		let largest: Holder | undefined;
		for (const holder of this.#holders) {
			if (holder.deliveredFromMs === undefined && holder.bytes > (largest?.bytes ?? 0)) {
				largest = holder;
			}
		}

		return largest;
	}
}
