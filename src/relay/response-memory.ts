import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';

/** Time in which a caller has to take a part of a whole response, and share of it that counts: all is taken in 80 s. */
const maxQuietMs: Ms = 5000;
const minTakenShare = 1 / 16;
/** Interval of the checks what callers have taken. */
const checkIntervalMs: Ms = 500;

/** Memory of one response, which is given back with `release`. */
export interface MemoryLease {
	/** Sets the number of bytes in use. */
	set(bytes: number): void;
	release(): void;
}

/** Options of {@link ResponseMemory}. */
export interface ResponseMemoryOptions {
	readonly maxBytes: number;
	readonly clock: Pick<Clock, 'now' | 'after'>;
	readonly logger: PartLogger;
}

type Holder = {
	bytes: number;
	readonly onExceeded: () => void;
	/** Set once its caller reads it as a whole. */
	readonly delivery: Delivery | undefined;
};

type Delivery = {
	/** Returns the bytes that the caller has not taken. */
	readonly unreadBytes: () => number;
	/** When the caller had last taken enough to count, and what it had not taken then. */
	quietFromMs: Ms;
	quietFromBytes: number;
};

/**
 * Bounds the memory of all responses that the process holds at a time. When it is used up, the one of whose bytes
 * its caller has taken too few for longest is ended, if that is long, else the largest response that is still received: one
 * without end is soon the largest, and the others are spared.
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
	#cancelCheck: CancelTimer | undefined;

	private constructor(private readonly options: ResponseMemoryOptions) {}

	/** Bytes in use. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Starts to count a response that is received. */
	lease(onExceeded: () => void): MemoryLease {
		return this.#lease({bytes: 0, onExceeded, delivery: undefined});
	}

	/** Starts to count a whole response that its caller reads; `unreadBytes` returns what of it the caller has not taken. */
	deliver(bytes: number, onExceeded: () => void, unreadBytes: () => number = () => bytes): MemoryLease {
		const lease = this.#lease({bytes: 0, onExceeded, delivery: {unreadBytes, quietFromMs: this.options.clock.now(), quietFromBytes: bytes}});
		lease.set(bytes);
		this.#scheduleCheck();
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
			const victim = this.#longestQuiet() ?? this.#largestReceived();
			if (!victim) {
				return;
			}

			logger.warn(victim.delivery ? 'Ended the response that was read too slowly for longest: the memory for responses is used up.' : 'Ended the largest response: the memory for responses is used up.', {
				bytes: victim.bytes, unread: victim.delivery?.unreadBytes(), quiet_ms: victim.delivery && Math.round(this.options.clock.now() - victim.delivery.quietFromMs), total: this.#bytes, responses: this.#holders.size,
			});
			this.#holders.delete(victim);
			this.#bytes -= victim.bytes;
			victim.onExceeded();
		}
	}

	/** Checks what callers have taken while any reads a whole response. */
	#scheduleCheck(): void {
		this.#cancelCheck ??= this.options.clock.after(checkIntervalMs, () => {
			this.#cancelCheck = undefined;
			if (this.#checkDeliveries()) {
				this.#scheduleCheck();
			}
		});
	}

	/** Returns whether there are any. */
	#checkDeliveries(): boolean {
		const now = this.options.clock.now();
		let isAny = false;
		for (const {bytes, delivery} of this.#holders) {
			if (delivery) {
				isAny = true;
				const unreadBytes = delivery.unreadBytes();
				if (delivery.quietFromBytes - unreadBytes >= bytes * minTakenShare) {
					delivery.quietFromMs = now;
					delivery.quietFromBytes = unreadBytes;
				} else {
					// Nothing is unread before it is written.
					delivery.quietFromBytes = Math.max(delivery.quietFromBytes, unreadBytes);
				}
			}
		}

		return isAny;
	}

	/** Returns the one whose caller has taken too few bytes for longest, if that is long. */
	#longestQuiet(): Holder | undefined {
		this.#checkDeliveries();
		const latestMs = this.options.clock.now() - maxQuietMs;
		let longest: Holder | undefined;
		for (const holder of this.#holders) {
			if (holder.delivery && holder.delivery.quietFromMs <= (longest?.delivery?.quietFromMs ?? latestMs)) {
				longest = holder;
			}
		}

		return longest;
	}

	#largestReceived(): Holder | undefined {
		let largest: Holder | undefined;
		for (const holder of this.#holders) {
			if (!holder.delivery && holder.bytes > (largest?.bytes ?? 0)) {
				largest = holder;
			}
		}

		return largest;
	}
}
