import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';

/** Time for which targets must be reached again until the standby ends; doubles with each cut that is near the one before. */
const initialHoldMs: Ms = 10_000;
const maxHoldMs: Ms = 300_000;
/** Time between two cuts from which the second counts as a first one. */
const independentAfterMs: Ms = 300_000;

/** Dependencies of {@link LeaderStandby}. */
export interface LeaderStandbyOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly onChange: (isOn: boolean) => void;
}

/**
 * Decides when this entry VM stands by instead of leading its cell: from a cut on, until targets have been reached without
 * another cut for a time that grows with each cut, so that the stage pools do not move to and fro.
 *
 * @example
 * standby.setCutOff(true);
 */
export class LeaderStandby {
	static create(options: LeaderStandbyOptions): LeaderStandby {
		return new LeaderStandby(options);
	}

	#isOn = false;
	#holdMs: Ms = initialHoldMs;
	#cutMs: Ms = -Infinity;
	#cancelEnd: CancelTimer = () => undefined;

	private constructor(private readonly options: LeaderStandbyOptions) {}

	/** Whether this entry VM stands by. */
	get isOn(): boolean {
		return this.#isOn;
	}

	/** Handles a cut from all targets, or its end. */
	setCutOff(isCutOff: boolean): void {
		const {clock} = this.options;
		this.#cancelEnd();
		if (!isCutOff) {
			this.#cancelEnd = clock.after(this.#holdMs, () => {
				this.#set(false);
			});
			return;
		}

		const now = clock.now();
		this.#holdMs = now - this.#cutMs >= independentAfterMs ? initialHoldMs : Math.min(maxHoldMs, this.#holdMs * 2);
		this.#cutMs = now;
		this.#set(true);
	}

	/** Stops the timer. */
	close(): void {
		this.#cancelEnd();
	}

	#set(isOn: boolean): void {
		if (this.#isOn !== isOn) {
			this.#isOn = isOn;
			this.options.logger.warn(isOn ? 'Stands by as a leader until targets have been reached again for a while.' : 'Ended the standby as a leader.', {hold_ms: this.#holdMs});
			this.options.onChange(isOn);
		}
	}
}
