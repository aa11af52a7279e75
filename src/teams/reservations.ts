import type {Clock, Ms} from '../clock/index.js';

/** Minimum interval between sweeps for expired reservations. */
const sweepIntervalMs: Ms = 1000;

/** Estimated work of an admitted request in a stage that it has not reached. */
export interface ReservedWork {
	readonly team: string;
	readonly stage: string;
	readonly pool: string;
	readonly serviceMs: Ms;
}

/**
 * Reserved work of admitted requests in the pools of their later stages. Without reservations, a burst would be admitted
 * in full while it is in the first stages, since the queues of later stages are still empty.
 *
 * @example
 * const reservations = Reservations.create(clock, work => shares.addQueued(work.team, -work.serviceMs));
 * reservations.add('request-1', deadlineMs, items);
 */
export class Reservations {
	/** Creates an empty set. `onRelease` is called for each item that is released. */
	static create(clock: Clock, onRelease: (work: ReservedWork) => void): Reservations {
		return new Reservations(clock, onRelease);
	}

	readonly #requests = new Map<string, {deadlineMs: Ms; items: ReservedWork[]}>();
	#lastSweepAt: Ms = 0;

	private constructor(private readonly clock: Clock, private readonly onRelease: (work: ReservedWork) => void) {}

	/** Number of requests with reserved work. */
	get size(): number {
		return this.#requests.size;
	}

	/** Reserves work until its stage is reached, the request ends, or its deadline has passed. */
	add(requestId: string, deadlineMs: Ms, items: readonly ReservedWork[]): void {
		this.#sweep();
		if (items.length > 0) {
			this.release(requestId);
			this.#requests.set(requestId, {deadlineMs, items: [...items]});
		}
	}

	/** Releases the work reserved for a stage that the request has reached. */
	stageReached(requestId: string, stage: string): void {
		const request = this.#requests.get(requestId);
		const index = request?.items.findIndex(work => work.stage === stage) ?? -1;
		if (index === -1) {
			return;
		}

		const [work] = request!.items.splice(index, 1);
		this.onRelease(work!);
		if (request!.items.length === 0) {
			this.#requests.delete(requestId);
		}
	}

	/** Releases all work still reserved for a request. */
	release(requestId: string): void {
		const request = this.#requests.get(requestId);
		if (request) {
			this.#requests.delete(requestId);
			for (const work of request.items) {
				this.onRelease(work);
			}
		}
	}

	/** Releases expired reservations: a request can end without a call of `release`, for example when its claim is lost. */
	#sweep(): void {
		const now = this.clock.now();
		if (now - this.#lastSweepAt < sweepIntervalMs) {
			return;
		}

		this.#lastSweepAt = now;
		for (const [requestId, {deadlineMs}] of this.#requests) {
			if (deadlineMs < now) {
				this.release(requestId);
			}
		}
	}
}
