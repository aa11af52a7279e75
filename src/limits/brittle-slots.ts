import type {Ms} from '../clock/index.js';

/** Time without a message of a holder after which its requests no longer count, and that after its link was lost. */
const holderTtlMs: Ms = 30_000;
const lostHolderTtlMs: Ms = 3000;
/** Time after the first request for a slot in which half of the slots are granted: others may have been granted by an earlier coordinator, or requests sent without. */
const takeoverMs: Ms = 3000;
/** Time in which what a target has rejected lowers the number of its slots; it recovers evenly. */
const recoveryMs: Ms = 4000;
/**
 * Window in which the requests that a target rejects are counted, and the part of its bound from which no slot is granted
 * until they are over: two or three coordinators at the same time, which each grant all slots, keep the bound together.
 */
const windowMs: Ms = 1000;
const rejectionShare = 1 / 3;
/** Time after which another try makes sense while all slots are taken. */
const fullRetryMs: Ms = 50;
/** Maximum number of starts of targets that are kept, far more than are brittle at once; the one used least recently is dropped. */
const maxTargets = 2000;

/** Request of an entry VM for a slot. */
export interface SlotRequest {
	/** Names a start of a target. */
	readonly target: string;
	/** Requests that the target serves at a time. */
	readonly slots: number;
	/** Requests that it may reject in a second. */
	readonly perSecond: number;
	readonly holder: string;
	/** Slots that the holder has, or may have been granted, besides this one. */
	readonly held: number;
}

/** Whether a slot is granted; if not, the time after which to ask again. */
export type SlotReply = {readonly isGranted: true} | {readonly isGranted: false; readonly retryAfterMs: Ms};

type TargetSlots = {readonly sinceMs: Ms; cap: number; capMs: Ms; readonly holders: Map<string, {count: number; seenMs: Ms}>; rejectionsMs: readonly Ms[]};

/**
 * Slots of brittle targets that one entry VM grants for all. Each holder tells how many it has, so that a lost message has
 * no lasting effect. It handles the load above the capacity of targets that crash by rejecting it: what is in progress
 * there stays within the slots, and what a target rejects lowers them.
 *
 * @example
 * slots.take({target: 'e-1 5', slots: 4, perSecond: 10, holder: 'incarnation-7', held: 0}, now); // {isGranted: true}
 */
export class BrittleSlots {
	static create(): BrittleSlots {
		return new BrittleSlots();
	}

	/** Least recently used first. */
	readonly #targets = new Map<string, TargetSlots>();

	private constructor() {}

	/** Number of starts of targets that are kept. */
	get size(): number {
		return this.#targets.size;
	}

	/** Takes a slot for a holder, if one is free. */
	take({target, slots, perSecond, holder, held}: SlotRequest, now: Ms): SlotReply {
		const state = this.#targets.get(target) ?? {
			sinceMs: now, cap: slots, capMs: now, holders: new Map(), rejectionsMs: [],
		};
		this.#targets.delete(target);
		this.#targets.set(target, state);
		if (this.#targets.size > maxTargets) {
			const [oldest] = this.#targets.keys();
			this.#targets.delete(oldest!);
		}

		state.holders.set(holder, {count: held, seenMs: now});
		state.rejectionsMs = recentOf(state.rejectionsMs, now);
		if (state.rejectionsMs.length >= Math.max(1, perSecond * rejectionShare)) {
			return {isGranted: false, retryAfterMs: state.rejectionsMs[0]! + windowMs - now};
		}

		const cap = Math.max(1, Math.floor(now - state.sinceMs < takeoverMs ? slots / 2 : capAt(state, slots, now)));
		if (countHeld(state, now) >= cap) {
			return {isGranted: false, retryAfterMs: fullRetryMs};
		}

		state.holders.set(holder, {count: held + 1, seenMs: now});
		return {isGranted: true};
	}

	/** Records the slots that a holder still has after a request has ended, `isRejected` if the target had no place for it. */
	release({target, slots, holder, held}: Omit<SlotRequest, 'perSecond'>, isRejected: boolean, now: Ms): void {
		const state = this.#targets.get(target);
		if (!state) {
			return;
		}

		state.holders.set(holder, {count: held, seenMs: now});
		if (isRejected) {
			state.cap = Math.max(1, Math.min(capAt(state, slots, now), countHeld(state, now)));
			state.capMs = now;
			state.rejectionsMs = [...recentOf(state.rejectionsMs, now), now];
		}
	}

	/** Drops the slots of a holder that cannot be reached any more, after a while: its requests may still run. */
	holderLost(holder: string, now: Ms): void {
		for (const {holders} of this.#targets.values()) {
			const held = holders.get(holder);
			if (held) {
				held.seenMs = Math.min(held.seenMs, now - holderTtlMs + lostHolderTtlMs);
			}
		}
	}

	/** Forgets all targets, none of which is brittle any more. */
	clear(): void {
		this.#targets.clear();
	}
}

/** Returns the rejections in the window. */
function recentOf(rejectionsMs: readonly Ms[], now: Ms): readonly Ms[] {
	return rejectionsMs.filter(atMs => atMs > now - windowMs);
}

function capAt({cap, capMs}: TargetSlots, slots: number, now: Ms): number {
	return Math.min(slots, cap + (slots * (now - capMs) / recoveryMs));
}

function countHeld({holders}: TargetSlots, now: Ms): number {
	let sum = 0;
	for (const [holder, {count, seenMs}] of holders) {
		if (seenMs <= now - holderTtlMs) {
			holders.delete(holder);
		} else {
			sum += count;
		}
	}

	return sum;
}
