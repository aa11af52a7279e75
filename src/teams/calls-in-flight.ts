import type {Ms} from '../clock/index.js';
import type {ServiceTimeEstimate} from '../routing/index.js';
import type {Target} from '../targets/index.js';
import type {StageWork} from './scheduler.js';
import type {TeamShares} from './team-shares.js';

/** Weight of the latest call in the moving average of service times. */
const smoothingFactor = 0.1;
/** Attempts with a higher number are not revoked, so that requests of a team above its share still complete. */
const maxRevocableAttempt = 3;

/** A call sent to a target that has not ended. */
export interface Call {
	readonly work: StageWork;
	readonly target: Target;
	readonly estimate: ServiceTimeEstimate;
	/** Service time predicted at dispatch: the estimate corrected by the pool's measured service times. */
	readonly expectedMs: Ms;
	readonly sentAt: Ms;
	readonly revocation: AbortController;
}

/**
 * Calls in flight from this entry VM to one pool, oldest first.
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

	/** Moving average of the service times of completed calls; 0 before the first. */
	get meanServiceMs(): Ms {
		return this.#meanServiceMs;
	}

	add(call: Call): void {
		this.#calls.add(call);
	}

	/** Removes a call; returns false when it was already removed. */
	delete(call: Call): boolean {
		return this.#calls.delete(call);
	}

	/** Records the service time of a completed call. */
	recordCompletion(serviceMs: Ms): void {
		this.#meanServiceMs += (serviceMs - this.#meanServiceMs) * (this.#meanServiceMs === 0 ? 1 : smoothingFactor);
	}

	/** Number of calls by target name. */
	byTarget(): Map<string, number> {
		const calls = new Map<string, number>();
		for (const {target} of this.#calls) {
			calls.set(target.name, (calls.get(target.name) ?? 0) + 1);
		}

		return calls;
	}

	/**
	 * Predicted time until a slot is free: the oldest call's remaining time, or the mean interval between completions if
	 * that is longer.
	 */
	nextSlotMs(now: Ms, slots: number): Ms {
		const [oldest] = this.#calls;
		const restMs = oldest ? oldest.sentAt + oldest.expectedMs - now : 0;
		return Math.max(restMs, this.#meanServiceMs / Math.max(1, slots));
	}

	/**
	 * Newest call that may be revoked for an attempt: idempotent, of another team that is above its share, and not at a
	 * target where the attempt's request failed before. Revoking the newest call wastes the least completed work.
	 */
	newestRevocable(work: StageWork, shares: TeamShares, slots: number): Call | undefined {
		let newest: Call | undefined;
		for (const call of this.#calls) {
			const {team, idempotent, stage, attempt} = call.work;
			const isRevocable = (idempotent ?? stage.idempotent) && attempt <= maxRevocableAttempt && !call.revocation.signal.aborted;
			if (isRevocable && team !== work.team && !work.failedTargets.includes(call.target.name) && shares.calls(team) > shares.allotment(team, slots)) {
				newest = call;
			}
		}

		return newest;
	}
}
