import type {Ms} from '../clock/index.js';

/** A target as described by its entry in the store. */
export interface TargetEntry {
	readonly id: string;
	readonly service: string;
	/** IP address and port. */
	readonly address: string;
	readonly zone: string;
	readonly slots: number;
	readonly isDraining: boolean;
	/** Wall-clock time of its start, if the entry has it; a different value under the same id means another incarnation. */
	readonly startedMs: number | undefined;
	/** Time for which the target stayed cold when it wrote the entry; absent or 0 if it was warm. */
	readonly coldMs?: Ms | undefined;
}

/** Weight of the latest observation in the exponential moving averages; roughly the last ten calls count. */
const smoothingFactor = 0.2;
/** Time for which an unreachable target is avoided; doubles up to the maximum while it stays unreachable. */
const initialBackoffMs: Ms = 500;
const maxBackoffMs: Ms = 4000;

/** Outcome of a call, as used for the target's health. */
export type CallOutcome = 'ok' | 'failed' | 'unreachable' | 'busy';

/** Time for which a target that rejected a call as busy is avoided. */
const busyBackoffMs: Ms = 100;

/**
 * One incarnation of a target as seen by this entry VM: its entry, the calls in flight from here and its health.
 */
export class RelayTarget {
	static create(entry: TargetEntry): RelayTarget {
		return new RelayTarget(entry);
	}

	isDraining: boolean;
	isRemoved = false;
	/** Number of calls in flight from this entry VM. */
	inFlight = 0;
	/** Prompt tokens of calls from this entry VM to a model engine that has not started to respond to them. */
	pendingTokens = 0;
	/** Moving average of the duration of successful calls; 0 before the first. */
	latencyMs: Ms = 0;
	/** Moving average of the fraction of calls that failed, 0 to 1. */
	failureRate = 0;
	/** Requests per second that the target takes from all entry VMs together, and when it last said so; `undefined` without a limit. */
	limit: {readonly perSecond: number; readonly seenMs: Ms} | undefined;
	/** Time at which the limit, or its end, was last seen by any entry VM. */
	limitSeenMs: Ms = -Infinity;
	/** Time until which the limit leaves no place for requests from this entry VM, as far as it knows. */
	limitedUntilMs: Ms = 0;
	/** Whether the target has named a limit that cannot be read, which is logged once. */
	hasUnreadableLimit = false;
	/** Listeners of requests that wait for a connection. */
	readonly #unsent = new Set<() => void>();
	#avoidUntilMs: Ms = 0;
	#backoffMs: Ms = initialBackoffMs;

	private constructor(readonly entry: TargetEntry) {
		this.isDraining = entry.isDraining;
	}

	get id(): string {
		return this.entry.id;
	}

	/** True while the target accepts new work. */
	get isAccepting(): boolean {
		return !this.isRemoved && !this.isDraining;
	}

	/** True during the backoff after an unreachable or busy call, while further calls are likely to fail. */
	isAvoided(now: Ms): boolean {
		return now < this.#avoidUntilMs;
	}

	/** True while the limit that the target names leaves no place for a request from this entry VM. */
	isLimited(now: Ms): boolean {
		return this.limit !== undefined && now < this.limitedUntilMs;
	}

	/** Calls `onWithdrawn` when a request that is not sent yet must go elsewhere; returns a function that ends the watch. */
	watchUnsent(onWithdrawn: () => void): () => void {
		this.#unsent.add(onWithdrawn);
		return () => {
			this.#unsent.delete(onWithdrawn);
		};
	}

	/** Withdraws the requests that are not sent yet: the target has stopped accepting them, or takes fewer. */
	withdrawUnsent(): void {
		for (const onWithdrawn of this.#unsent) {
			onWithdrawn();
		}
	}

	/** Updates the target's health with the outcome of a call that took `tookMs`. */
	recordCall(outcome: CallOutcome, now: Ms, tookMs: Ms): void {
		if (outcome === 'busy') {
			this.#avoidUntilMs = Math.max(this.#avoidUntilMs, now + busyBackoffMs);
			return;
		}

		this.failureRate += smoothingFactor * ((outcome === 'ok' ? 0 : 1) - this.failureRate);
		if (outcome === 'unreachable') {
			this.#avoidUntilMs = now + this.#backoffMs;
			this.#backoffMs = Math.min(maxBackoffMs, this.#backoffMs * 2);
			return;
		}

		this.#backoffMs = initialBackoffMs;
		if (outcome === 'ok') {
			this.#avoidUntilMs = 0;
			this.latencyMs = this.latencyMs === 0 ? tookMs : this.latencyMs + (smoothingFactor * (tookMs - this.latencyMs));
		}
	}
}
