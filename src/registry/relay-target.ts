import type {Ms} from '../clock/index.js';

/** What a target says of itself. */
export interface TargetEntry {
	readonly id: string;
	readonly service: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Wall-clock ms of its start where it tells; another value under the same id is another incarnation. */
	readonly startedMs: number | undefined;
}

/** Weight of the latest observation in moving averages; about the last ten calls count. */
const smoothing = 0.2;
/** Time for which a target is avoided after it could not be reached; doubles up to the maximum. */
const firstSuspicionMs: Ms = 500;
const maxSuspicionMs: Ms = 4000;

/** How a call ended, for the target's health. */
export type CallOutcome = 'ok' | 'failed' | 'unreachable' | 'busy';

/** Time for which a target that said it is full gets no further call. */
const busyMs: Ms = 100;

/**
 * One incarnation of a target as this entry VM sees it: its entry, calls in flight from here, and how calls ended.
 */
export class RelayTarget {
	static create(entry: TargetEntry): RelayTarget {
		return new RelayTarget(entry);
	}

	isDraining: boolean;
	isGone = false;
	/** Calls in flight from this entry VM. */
	inFlight = 0;
	/** Prompt tokens sent from this entry VM to a model engine that has not started to answer. */
	pendingTokens = 0;
	/** Moving average of the time to an answer; 0 before the first. */
	latencyMs: Ms = 0;
	/** Moving average of failed calls, 0 to 1. */
	failureRate = 0;
	#avoidUntilMs: Ms = 0;
	#suspicionMs: Ms = firstSuspicionMs;

	private constructor(readonly entry: TargetEntry) {
		this.isDraining = entry.isDraining;
	}

	get id(): string {
		return this.entry.id;
	}

	/** True while new work may be sent. */
	get isOpen(): boolean {
		return !this.isGone && !this.isDraining;
	}

	/** True while calls to it are likely to fail. */
	isAvoided(now: Ms): boolean {
		return now < this.#avoidUntilMs;
	}

	/** Counts one ended call that took `tookMs`. */
	ended(outcome: CallOutcome, now: Ms, tookMs: Ms): void {
		if (outcome === 'busy') {
			this.#avoidUntilMs = Math.max(this.#avoidUntilMs, now + busyMs);
			return;
		}

		this.failureRate += smoothing * ((outcome === 'ok' ? 0 : 1) - this.failureRate);
		if (outcome === 'unreachable') {
			this.#avoidUntilMs = now + this.#suspicionMs;
			this.#suspicionMs = Math.min(maxSuspicionMs, this.#suspicionMs * 2);
			return;
		}

		this.#suspicionMs = firstSuspicionMs;
		if (outcome === 'ok') {
			this.#avoidUntilMs = 0;
			this.latencyMs = this.latencyMs === 0 ? tookMs : this.latencyMs + (smoothing * (tookMs - this.latencyMs));
		}
	}
}
