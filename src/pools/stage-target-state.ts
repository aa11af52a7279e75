import type {Ms} from '../clock/index.js';
import type {StageCallOutcome} from './stage-job.js';

/** A target of a stage pool. */
export interface StageTarget {
	readonly id: string;
	readonly address: string;
	readonly zone: string;
}

/** Pause after a target refused a call. */
const refusedPauseMs: Ms = 150;
/** Pause after a target could not be reached or gave no answer; doubles up to the maximum. */
const firstPauseMs: Ms = 400;
const maxPauseMs: Ms = 4000;
/** Bounds of the part of the room that is planned with, its cut after a call without room, and its growth in a ms. */
const mostRoomShare = 0.95;
/** Part planned with after a change of hosts, while results of the host before are still held. */
const takeoverRoomShare = 0.5;
const leastRoomShare = 0.15;
const roomCut = 0.7;
const roomGrowthPerMs = 0.000_15;
/** Releases after which the usual time that results are held is known. */
const leastReleases = 20;
/** Weight of the latest result in the moving average of the time that results are held. */
const heldSmoothing = 0.05;
/** Time in which a measured slowness loses half of its weight, so that a target that gets no calls is tried again. */
const slownessHalfLifeMs: Ms = 2000;
/** Weight of the latest call in the moving average of the slowness. */
const smoothing = 0.4;

/**
 * Calls, room and speed of one target as its pool counts them.
 *
 * @internal
 */
export class StageTargetState {
	static create(target: StageTarget): StageTargetState {
		return new StageTargetState(target);
	}

	#slowness = 1;
	#slownessMs: Ms = 0;
	/** Part of the declared room that is planned with: others may use the target too, and sizes are approximate. */
	#roomShare = mostRoomShare;
	#roomShareMs: Ms = 0;
	readonly #calls = new Map<number, {roomMb: number; endsMs: Ms}>();
	readonly #results = new Map<string, {mb: number; madeMs: Ms; lapsesMs: Ms}>();
	/** Usual time between a result and its release. */
	#heldMs: Ms = 0;
	#releases = 0;
	#pausedUntilMs: Ms = -Infinity;
	#pauseMs: Ms = firstPauseMs;

	private constructor(readonly target: StageTarget) {}

	/** Time of calls relative to the expected time, as measured; what was measured long ago counts less. */
	slowness(now: Ms): number {
		return 1 + ((this.#slowness - 1) * (0.5 ** ((now - this.#slownessMs) / slownessHalfLifeMs)));
	}

	get calls(): number {
		return this.#calls.size;
	}

	isUsable(now: Ms): boolean {
		return now >= this.#pausedUntilMs;
	}

	/** Time from which it is usable. */
	usableAt(now: Ms): Ms {
		return Math.max(now, this.#pausedUntilMs);
	}

	/** Time at which its calls in progress are expected to have ended. */
	freeAt(now: Ms): Ms {
		return Math.max(now, ...[...this.#calls.values()].map(call => call.endsMs));
	}

	/** Memory that its results and calls in progress leave at the end of a call of `callMs`. */
	freeRoomMb(roomMb: number, callMs: Ms, now: Ms): number {
		let used = 0;
		for (const call of this.#calls.values()) {
			used += call.roomMb;
		}

		for (const [handle, result] of this.#results) {
			if (result.lapsesMs <= now) {
				this.#results.delete(handle);
			} else if (!this.#isFreedWithin(result.madeMs, callMs, now)) {
				used += result.mb;
			}
		}

		return (roomMb * this.#roomShareAt(now)) - used;
	}

	/** One that is already held longer than usual may stay for long. */
	#isFreedWithin(madeMs: Ms, callMs: Ms, now: Ms): boolean {
		const freedMs = madeMs + this.#heldMs;
		return this.#releases >= leastReleases && freedMs >= now && freedMs <= now + callMs;
	}

	/** True when it holds no results and no call is in progress. */
	get isEmpty(): boolean {
		return this.#calls.size === 0 && this.#results.size === 0;
	}

	/** A call ended with pieces that found no room. */
	roomWasShort(now: Ms): void {
		this.#roomShare = Math.max(leastRoomShare, this.#roomShareAt(now) * roomCut);
		this.#roomShareMs = now;
	}

	/** Another host's results may take part of the room for a while. */
	expectForeignResults(now: Ms): void {
		this.#roomShare = Math.min(this.#roomShareAt(now), takeoverRoomShare);
		this.#roomShareMs = now;
	}

	#roomShareAt(now: Ms): number {
		return Math.min(mostRoomShare, this.#roomShare + ((now - this.#roomShareMs) * roomGrowthPerMs));
	}

	started(callId: number, call: {roomMb: number; endsMs: Ms}): void {
		this.#calls.set(callId, call);
	}

	ended(callId: number, call: {end: StageCallOutcome['kind']; tookMs: Ms; expectedMs: Ms}, now: Ms): void {
		this.#calls.delete(callId);
		if (call.end === 'done') {
			this.#pauseMs = firstPauseMs;
			const before = this.slowness(now);
			this.#slowness = before + (smoothing * (Math.max(0.5, call.tookMs / call.expectedMs) - before));
			this.#slownessMs = now;
		} else if (call.end === 'refused') {
			this.#pausedUntilMs = now + refusedPauseMs;
		} else {
			this.#pausedUntilMs = now + this.#pauseMs;
			this.#pauseMs = Math.min(maxPauseMs, this.#pauseMs * 2);
		}
	}

	/** A result takes room until it is freed or lapses. */
	made(handle: string, bytes: number, {now, lapsesMs}: {now: Ms; lapsesMs: Ms}): void {
		this.#results.set(handle, {mb: bytes / 1e6, madeMs: now, lapsesMs});
	}

	/** True when the result was one of this target's. */
	freed(handle: string, now: Ms): boolean {
		const result = this.#results.get(handle);
		if (!result) {
			return false;
		}

		this.#results.delete(handle);
		const heldMs = now - result.madeMs;
		this.#heldMs += (this.#releases === 0 ? 1 : heldSmoothing) * (heldMs - this.#heldMs);
		this.#releases++;
		return true;
	}
}
