import type {Clock, Ms} from '../clock/index.js';

/** A remote clock further ahead than this is not followed, so that one broken clock does not move the time line. */
const maxLeadMs: Ms = 10_000;

/** Time of a hybrid logical clock; ordered by `physicalMs`, then `logical`. */
export interface HybridTime {
	readonly physicalMs: Ms;
	readonly logical: number;
}

/**
 * Hybrid logical clock: physical time is the largest of the wall clock, the last local time and the times received;
 * a counter orders events of the same physical time. An effect is thus stamped later than its cause, however the
 * wall clocks are skewed, wherever the cause's time travelled with the message. The idea is that of Ferricstore.HLC.
 * It orders the event timeline only and never decides a lease, a claim or a deadline.
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

	/** Time of a local event or of a message to send; later than any time before. */
	tick(): HybridTime {
		const wall = this.clock.wall();
		this.#last = wall > this.#last.physicalMs ? {physicalMs: wall, logical: 0} : {physicalMs: this.#last.physicalMs, logical: this.#last.logical + 1};
		return this.#last;
	}

	/** Takes the time of a received message into account. */
	merge(remote: HybridTime): void {
		const isLater = remote.physicalMs > this.#last.physicalMs || (remote.physicalMs === this.#last.physicalMs && remote.logical > this.#last.logical);
		if (isLater && remote.physicalMs <= this.clock.wall() + maxLeadMs) {
			this.#last = {physicalMs: remote.physicalMs, logical: remote.logical};
		}
	}
}
