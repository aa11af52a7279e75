import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {PartLogger} from '../logging/index.js';
import type {RelayTarget} from '../registry/index.js';
import type {Random} from '../random/index.js';
import {holdDuration, spreadReturn} from './hold-duration.js';

/** A target as its holds need it. */
export type HeldTarget = Pick<RelayTarget, 'id' | 'entry' | 'withdrawUnsent'>;

/** Dependencies of {@link TargetHolds}. */
export interface TargetHoldsOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly random: Pick<Random, 'float'>;
	/** Called when a target is held back, and when its hold ends. */
	readonly onChange?: (target: HeldTarget) => void;
}

type Hold = {readonly target: HeldTarget; readonly sinceMs: Ms; untilMs: Ms};

/**
 * Targets that have asked this entry VM to send nothing for a time. A target is one start: after a restart it is another
 * one, also at the same address. The hold covers attempts, stage calls, calls that free results, and probes. Each entry VM
 * keeps its own holds, since a target asks each of them by itself.
 *
 * @example
 * holds.observe(target, 2000);
 * const mayProbe = !holds.isHeld(target);
 */
export class TargetHolds {
	static create(options: TargetHoldsOptions): TargetHolds {
		return new TargetHolds(options);
	}

	/** By id, start and address: a target that is listed again after an outage of the store is the same one. */
	readonly #holds = new Map<string, Hold>();
	/** Targets that have sent a value which is no time, each of which is logged once. */
	readonly #unreadable = new WeakSet<HeldTarget>();
	#cancelEndWatch: CancelTimer = () => undefined;

	private constructor(private readonly options: TargetHoldsOptions) {}

	/** Whether a target may be held back. */
	get hasAny(): boolean {
		return this.#holds.size > 0;
	}

	/** Number of targets that are held back. */
	get size(): number {
		const now = this.options.clock.now();
		return [...this.#holds.values()].filter(({untilMs}) => untilMs > now).length;
	}

	/**
	 * Handles the time for which a response asks for no requests; `undefined` if it does not ask for it, NaN if it names what
	 * is no time, which is ignored. A shorter time does not end a longer one of an earlier response.
	 */
	observe(target: HeldTarget, retryAfterMs: Ms | undefined): void {
		if (retryAfterMs === undefined) {
			return;
		}

		const {clock, logger, random} = this.options;
		const {id, entry} = target;
		const durationMs = holdDuration(retryAfterMs, random.float());
		if (durationMs === undefined) {
			if (!this.#unreadable.has(target)) {
				this.#unreadable.add(target);
				logger.warn('Ignored the time for which a target asks for no requests: it is no time.', {target: id, service: entry.service});
			}

			return;
		}

		const now = clock.now();
		const key = keyOf(target);
		const current = this.#holds.get(key);
		const untilMs = now + durationMs;
		if (durationMs === 0 || (current && current.untilMs >= untilMs)) {
			return;
		}

		if (current && current.untilMs > now) {
			current.untilMs = untilMs;
		} else {
			this.#holds.set(key, {target, sinceMs: now, untilMs});
			logger.info('A target is held back.', {
				target: id, service: entry.service, zone: entry.zone, reason: 'retry_after', asked_ms: Math.round(retryAfterMs), for_ms: Math.round(durationMs), age_ms: 0,
			});
			target.withdrawUnsent();
			this.options.onChange?.(target);
		}

		this.#watchEnds();
	}

	/** Whether nothing may be sent to a target now. */
	isHeld(target: Pick<HeldTarget, 'id' | 'entry'>): boolean {
		return this.heldForMs(target) > 0;
	}

	/** Returns the time for which nothing may be sent to a target; 0 if requests may be sent. */
	heldForMs(target: Pick<HeldTarget, 'id' | 'entry'>): Ms {
		return this.#holds.size === 0 ? 0 : Math.max(0, (this.#holds.get(keyOf(target))?.untilMs ?? 0) - this.options.clock.now());
	}

	/** Whether nothing may be sent to an address. */
	isAddressHeld(address: string): boolean {
		const now = this.options.clock.now();
		return [...this.#holds.values()].some(({target, untilMs}) => target.entry.address === address && untilMs > now);
	}

	/** Returns those of some targets that may get requests. */
	free<T extends Pick<HeldTarget, 'id' | 'entry'>>(targets: readonly T[]): readonly T[] {
		return this.#holds.size === 0 ? targets : targets.filter(target => !this.isHeld(target));
	}

	/**
	 * Returns the time after which a caller may ask again while each of some targets is held back: the shortest time left, spread a
	 * little over the callers; `undefined` if one of them may get requests, or there is none.
	 */
	returnMs(targets: ReadonlyArray<Pick<HeldTarget, 'id' | 'entry'>>): Ms | undefined {
		if (this.#holds.size === 0 || targets.length === 0) {
			return undefined;
		}

		const shortestMs = Math.min(...targets.map(target => this.heldForMs(target)));
		return shortestMs > 0 ? spreadReturn(shortestMs, this.options.random.float()) : undefined;
	}

	/** Ends the timers. */
	close(): void {
		this.#cancelEndWatch();
	}

	/** Ends the holds that are over, and waits for the end of the next one. */
	#watchEnds(): void {
		const {clock, logger, onChange} = this.options;
		const now = clock.now();
		this.#cancelEndWatch();
		for (const [key, {target, sinceMs, untilMs}] of this.#holds) {
			if (untilMs <= now) {
				this.#holds.delete(key);
				logger.info('A target is no longer held back.', {
					target: target.id, service: target.entry.service, reason: 'retry_after', age_ms: Math.round(now - sinceMs),
				});
				onChange?.(target);
			}
		}

		const ends = [...this.#holds.values()].map(({untilMs}) => untilMs);
		if (ends.length > 0) {
			this.#cancelEndWatch = clock.after(Math.max(1, Math.ceil(Math.min(...ends) - now)), () => {
				this.#watchEnds();
			});
		}
	}
}

function keyOf({id, entry: {startedMs, address}}: Pick<HeldTarget, 'id' | 'entry'>): string {
	return `${id} ${startedMs ?? ''} ${address}`;
}
