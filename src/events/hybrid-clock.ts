import type {Clock, Ms} from '../clock/index.js';

/** A remote time further ahead of the wall clock is ignored, so that one faulty clock does not shift the timeline. */
const maxRemoteLeadMs: Ms = 10_000;

/** Time of a hybrid logical clock; ordered by `physicalMs`, then `logical`. */
export interface HybridTime {
	readonly physicalMs: Ms;
	readonly logical: number;
}

/**
 * Hybrid logical clock: the physical time is the maximum of the wall clock, the last local time and the received
 * times; a counter orders events with equal physical time. An effect is therefore stamped later than its cause,
 * however skewed the wall clocks are, if the message between them carries the cause's time. The design follows
 * Ferricstore.HLC. The clock only orders the event timeline and never decides a lease, a claim or a deadline.
 *
 * @example
 * const hybrid = HybridClock.create(clock);
 * hybrid.merge(message.time);
 */
export class HybridClock {
	static create(clock: Pick<Clock, 'wall'>): HybridClock {
		return new HybridClock(clock);
	}

	#last: HybridTime = {physicalMs: 0, logical: 0};

	private constructor(private readonly clock: Pick<Clock, 'wall'>) {}

	/** Returns the time of a local event or of a message to send, later than every earlier time of this clock. */
	tick(): HybridTime {
		const wall = this.clock.wall();
		this.#last = wall > this.#last.physicalMs ? {physicalMs: wall, logical: 0} : {physicalMs: this.#last.physicalMs, logical: this.#last.logical + 1};
		return this.#last;
	}

	/** Advances the clock to the time of a received message, if that is later. */
	merge(remote: HybridTime): void {
		const isLater = remote.physicalMs > this.#last.physicalMs || (remote.physicalMs === this.#last.physicalMs && remote.logical > this.#last.logical);
		if (isLater && remote.physicalMs <= this.clock.wall() + maxRemoteLeadMs) {
			this.#last = {physicalMs: remote.physicalMs, logical: remote.logical};
		}
	}
}
