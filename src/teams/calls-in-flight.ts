import type {Ms} from '../clock/index.js';
import type {ServiceTimeEstimate} from '../routing/index.js';
import type {Target} from '../targets/index.js';
import type {StageWork} from './scheduler.js';
import type {TeamShares} from './team-shares.js';

/** Weight of the newest call in the mean service time. */
const smoothing = 0.1;
/** Attempts after this one are not revoked, so that a request above its share still ends. */
const maxRevocableAttempt = 3;

/** A call in flight. */
export interface Call {
	readonly work: StageWork;
	readonly target: Target;
	readonly estimate: ServiceTimeEstimate;
	/** Service time predicted at dispatch, with the pool's measured correction. */
	readonly expectedMs: Ms;
	readonly sentAt: Ms;
	readonly revoked: AbortController;
}

/**
 * Calls of this entry VM in flight in one pool, the oldest first.
 *
 * @internal
 */
export class CallsInFlight {
	static create(): CallsInFlight {
		return new CallsInFlight();
	}

	readonly #calls = new Set<Call>();
	#meanServiceMs: Ms = 0;

	private constructor() {}

	/** Mean service time of completed calls; 0 before the first. */
	get meanServiceMs(): Ms {
		return this.#meanServiceMs;
	}

	add(call: Call): void {
		this.#calls.add(call);
	}

	/** Removes a call; false when it was settled before. */
	delete(call: Call): boolean {
		return this.#calls.delete(call);
	}

	/** Takes the service time of a completed call. */
	completed(serviceMs: Ms): void {
		this.#meanServiceMs += (serviceMs - this.#meanServiceMs) * (this.#meanServiceMs === 0 ? 1 : smoothing);
	}

	/** Calls by target. */
	byTarget(): Map<string, number> {
		const calls = new Map<string, number>();
		for (const {target} of this.#calls) {
			calls.set(target.name, (calls.get(target.name) ?? 0) + 1);
		}

		return calls;
	}

	/** Predicted time until a slot is free: the rest of the oldest call, or the mean gap between two ends. */
	nextSlotMs(now: Ms, slots: number): Ms {
		const [oldest] = this.#calls;
		const restMs = oldest ? oldest.sentAt + oldest.expectedMs - now : 0;
		return Math.max(restMs, this.#meanServiceMs / Math.max(1, slots));
	}

	/**
	 * The newest call that may be revoked for an attempt: idempotent, of another team that is above its share. It has done
	 * the least work, so taking its slot wastes least.
	 */
	newestAboveShare(work: StageWork, shares: TeamShares, slots: number): Call | undefined {
		let newest: Call | undefined;
		for (const call of this.#calls) {
			const {team, idempotent, stage, attempt} = call.work;
			const isRevocable = (idempotent ?? stage.idempotent) && attempt <= maxRevocableAttempt && !call.revoked.signal.aborted;
			if (isRevocable && team !== work.team && !work.failedTargets.includes(call.target.name) && shares.calls(team) > shares.allotment(team, slots)) {
				newest = call;
			}
		}

		return newest;
	}
}
