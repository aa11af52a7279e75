import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';

/** Size up to which a request counts as small. */
export const smallRequestBytes = 64 * 1024;
/** Share of the memory that is kept for small requests. */
const smallShare = 0.25;
/** Share of the memory that is kept for owners that hold less than it. */
const modestShare = 0.1;
/** Requests that wait at a time; what the kernel and Node.js have read of each takes memory too. */
const maxWaiting = 128;
/** Time for which a request waits for memory; callers give up what is not read within a second. */
const maxWaitMs: Ms = 800;
/** Interval of the checks for slow senders while others wait, and the checks without progress after which one is ended. */
const checkIntervalMs: Ms = 100;
const maxQuietChecks = 3;
/** Share of a request that has to arrive between two checks to count as progress. */
const minProgressShare = 0.01;

/** Why a request gets no memory: it waited in vain, its sender was too slow while others waited, or too many wait already. */
export type MemoryRefusal = 'waited' | 'slow' | 'crowded';

/** What a request needs. */
export interface MemoryClaim {
	/** Bytes that the request takes at most. */
	readonly bytes: number;
	/** Who sends it; the room is shared between owners. */
	readonly owner: string;
	/** Whether the process itself does not read on for now, so that the sender is not slow. */
	readonly isDeferred?: () => boolean;
	/** Called when the request, which is still received, has to give its memory back. */
	readonly onRefused: (cause: MemoryRefusal) => void;
}

/** Memory of one request. */
export interface RequestLease {
	/** Asks for more than was claimed; what is granted already stays so while it waits. */
	resize(bytes: number, onGranted: () => void): void;
	/** Records bytes that have arrived. */
	received(bytes: number): void;
	/** The request has arrived as a whole and takes `bytes`; it is no longer refused. */
	complete(bytes: number): void;
	release(): void;
}

/** Options of {@link RequestMemory}. */
export interface RequestMemoryOptions {
	readonly maxBytes: number;
	readonly clock: Pick<Clock, 'now' | 'after'>;
	readonly logger: PartLogger;
	/** Called with the bytes of requests that have arrived. */
	readonly onReceived?: (bytes: number) => void;
	/** Called for each request that gets no memory. */
	readonly onRefused?: (cause: MemoryRefusal) => void;
}

type Holder = {
	readonly claim: MemoryClaim;
	/** Bytes asked for, and bytes granted of them. */
	wanted: number;
	granted: number;
	onGranted: (() => void) | undefined;
	waitingSinceMs: Ms;
	isReceiving: boolean;
	/** Bytes that arrived since the last check that found progress. */
	newBytes: number;
	quietChecks: number;
};

/**
 * Shares the memory for the requests of all callers, from their heads to their ends. A request that finds no room waits
 * without being read, small ones first, and those of the owner that holds least. While any waits, senders that make no
 * progress are refused. One that has waited in vain is refused: it has not run.
 *
 * @example
 * const lease = memory.claim({bytes, owner: 'engravers', onRefused}, () => { read(); });
 * lease.release();
 */
export class RequestMemory {
	static create(options: RequestMemoryOptions): RequestMemory {
		return new RequestMemory(options);
	}

	readonly #holders = new Set<Holder>();
	/** In the order of arrival. */
	readonly #waiting = new Set<Holder>();
	readonly #bytesByOwner = new Map<string, number>();
	#bytes = 0;
	#largeBytes = 0;
	#cancelCheck: CancelTimer | undefined;

	private constructor(private readonly options: RequestMemoryOptions) {}

	/** Bytes granted. */
	get bytes(): number {
		return this.#bytes;
	}

	/** Number of requests that wait. */
	get waiting(): number {
		return this.#waiting.size;
	}

	/** Claims memory, and calls `onGranted` at once or later, unless the claim is refused before. */
	claim(claim: MemoryClaim, onGranted: () => void): RequestLease {
		const holder: Holder = {
			claim, wanted: 0, granted: 0, onGranted: undefined, waitingSinceMs: 0, isReceiving: true, newBytes: 0, quietChecks: 0,
		};
		this.#holders.add(holder);
		this.#request(holder, claim.bytes, onGranted);
		return {
			resize: (bytes, onResized) => {
				if (this.#holders.has(holder)) {
					this.#request(holder, bytes, onResized);
				}
			},
			received: bytes => {
				holder.newBytes += bytes;
				this.options.onReceived?.(bytes);
			},
			complete: bytes => {
				if (this.#holders.has(holder)) {
					holder.isReceiving = false;
					this.#grant(holder, Math.min(bytes, holder.granted));
					this.#admit();
				}
			},
			release: () => {
				this.#remove(holder);
				this.#admit();
			},
		};
	}

	#request(holder: Holder, bytes: number, onGranted: () => void): void {
		holder.wanted = bytes;
		if (this.#hasRoom(holder) && !this.#isBehindOthers(holder)) {
			this.#grant(holder, bytes);
			onGranted();
			return;
		}

		holder.onGranted = onGranted;
		holder.waitingSinceMs = this.options.clock.now();
		this.#waiting.add(holder);
		this.#scheduleCheck();
		if (this.#waiting.size > maxWaiting) {
			this.#refuse(this.#mostCrowding(), 'crowded');
		}
	}

	/** Returns the latest request of the owner that has most waiting. */
	#mostCrowding(): Holder {
		const byOwner = new Map<string, Holder[]>();
		for (const holder of this.#waiting) {
			byOwner.set(holder.claim.owner, [...byOwner.get(holder.claim.owner) ?? [], holder]);
		}

		return [...byOwner.values()].reduce((most, waiting) => waiting.length > most.length ? waiting : most).at(-1)!;
	}

	/** Whether the request fits. One larger than all the room for its kind fits while there is no other. */
	#hasRoom({wanted, granted, claim}: Holder): boolean {
		const {maxBytes} = this.options;
		const isModest = (this.#bytesByOwner.get(claim.owner) ?? 0) - granted + wanted <= maxBytes * modestShare;
		const isRoomInAll = this.#bytes - granted + wanted <= maxBytes * (isModest ? 1 : 1 - modestShare);
		if (wanted <= smallRequestBytes) {
			return isRoomInAll;
		}

		const otherLargeBytes = this.#largeBytes - (granted > smallRequestBytes ? granted : 0);
		return otherLargeBytes === 0 || (isRoomInAll && otherLargeBytes + wanted <= maxBytes * (1 - smallShare));
	}

	/** Whether requests wait already that go first. */
	#isBehindOthers(holder: Holder): boolean {
		return [...this.#waiting].some(other => this.#hasRoom(other) && this.#rank(other) <= this.#rank(holder));
	}

	#grant(holder: Holder, bytes: number): void {
		const {owner} = holder.claim;
		const change = bytes - holder.granted;
		this.#bytes += change;
		this.#largeBytes += (bytes > smallRequestBytes ? bytes : 0) - (holder.granted > smallRequestBytes ? holder.granted : 0);
		const ownerBytes = (this.#bytesByOwner.get(owner) ?? 0) + change;
		if (ownerBytes > 0) {
			this.#bytesByOwner.set(owner, ownerBytes);
		} else {
			this.#bytesByOwner.delete(owner);
		}

		holder.granted = bytes;
		holder.newBytes = 0;
		holder.quietChecks = 0;
	}

	#remove(holder: Holder): void {
		if (this.#holders.delete(holder)) {
			this.#waiting.delete(holder);
			this.#grant(holder, 0);
		}
	}

	/** Grants what waits and fits: small requests first, and those of the owner that holds least. */
	#admit(): void {
		for (let next = this.#next(); next; next = this.#next()) {
			this.#waiting.delete(next);
			this.#grant(next, next.wanted);
			next.onGranted!();
		}
	}

	#next(): Holder | undefined {
		let best: Holder | undefined;
		for (const holder of this.#waiting) {
			if (this.#hasRoom(holder) && (!best || this.#rank(holder) < this.#rank(best))) {
				best = holder;
			}
		}

		return best;
	}

	#rank({wanted, granted, claim}: Holder): number {
		const ownerBytes = (this.#bytesByOwner.get(claim.owner) ?? 0) - granted;
		return wanted <= smallRequestBytes ? ownerBytes - this.options.maxBytes : ownerBytes;
	}

	#refuse(holder: Holder, cause: MemoryRefusal): void {
		const {logger, onRefused, clock} = this.options;
		logger.warn('Refused a request: the memory for requests is used up.', {
			cause, owner: holder.claim.owner, bytes: holder.wanted, total: this.#bytes, requests: this.#holders.size, waiting: this.#waiting.size, waited_ms: this.#waiting.has(holder) ? Math.round(clock.now() - holder.waitingSinceMs) : 0,
		});
		this.#remove(holder);
		onRefused?.(cause);
		holder.claim.onRefused(cause);
	}

	/** Whether a request waits for which the memory of this one counts. */
	#blocks({granted}: Holder): boolean {
		return granted > smallRequestBytes || [...this.#waiting].some(({wanted}) => wanted <= smallRequestBytes);
	}

	#scheduleCheck(): void {
		this.#cancelCheck ??= this.options.clock.after(checkIntervalMs, () => {
			this.#cancelCheck = undefined;
			this.#check();
			if (this.#waiting.size > 0) {
				this.#scheduleCheck();
			}
		});
	}

	/** Counts checks, not time: a process that was held up has read from nobody meanwhile. */
	#check(): void {
		const now = this.options.clock.now();
		for (const holder of this.#holders) {
			if (this.#waiting.has(holder)) {
				if (now - holder.waitingSinceMs >= maxWaitMs) {
					this.#refuse(holder, 'waited');
				}
			} else if (holder.isReceiving) {
				if (holder.newBytes > 0 && holder.newBytes >= holder.granted * minProgressShare) {
					holder.newBytes = 0;
					holder.quietChecks = 0;
				} else if (!holder.claim.isDeferred?.() && this.#blocks(holder) && ++holder.quietChecks >= maxQuietChecks) {
					this.#refuse(holder, 'slow');
				}
			}
		}

		this.#admit();
	}
}
