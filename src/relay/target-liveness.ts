import type {Clock, Ms} from '../clock/index.js';

/** Maximum number of addresses that are remembered, more than a deployment has targets. */
const maxAddresses = 5000;

/**
 * Times at which targets are known to have been running, by address. A connection, a probe or a request proves it for the
 * time at which it was started, since its reply may be read long after the target that sent it has ended.
 *
 * @example
 * const recordReply = liveness.begin(address);
 * // … once the target has replied:
 * recordReply();
 */
export class TargetLiveness {
	static create(clock: Clock): TargetLiveness {
		return new TargetLiveness(clock);
	}

	/** Least recent first. */
	readonly #aliveMs = new Map<string, Ms>();

	private constructor(private readonly clock: Clock) {}

	/** Marks the start of something that only a running target replies to; returns a function that records the reply. */
	begin(address: string): () => void {
		const startedMs = this.clock.now();
		return () => {
			const aliveMs = Math.max(startedMs, this.latestMs(address));
			this.#aliveMs.delete(address);
			this.#aliveMs.set(address, aliveMs);
			if (this.#aliveMs.size > maxAddresses) {
				this.#aliveMs.delete(this.#aliveMs.keys().next().value!);
			}
		};
	}

	/** Returns the latest time at which a target is known to have been running; `-Infinity` without one. */
	latestMs(address: string): Ms {
		return this.#aliveMs.get(address) ?? -Infinity;
	}
}
