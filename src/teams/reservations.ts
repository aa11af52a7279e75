import type {Clock, Ms} from '../clock/index.js';

/** Interval at which overdue reservations are looked for. */
const sweepMs: Ms = 1000;

/** Work of an admitted request that has not yet reached its stage. */
export interface ReservedWork {
	readonly team: string;
	readonly stage: string;
	readonly pool: string;
	readonly serviceMs: Ms;
}

/**
 * Work of admitted requests in the pools of their later stages. Without it, a burst would be admitted while it passes
 * the first stages, since the queue of the last one is still empty.
 *
 * @example
 * const reservations = Reservations.create(clock, work => shares.queued(work.team, -work.serviceMs));
 * reservations.add('request-1', deadlineMs, works);
 */
export class Reservations {
	/** Creates an empty set; `onRelease` is told each work that leaves it. */
	static create(clock: Clock, onRelease: (work: ReservedWork) => void): Reservations {
		return new Reservations(clock, onRelease);
	}

	readonly #requests = new Map<string, {deadlineMs: Ms; works: ReservedWork[]}>();
	#sweptAt: Ms = 0;

	private constructor(private readonly clock: Clock, private readonly onRelease: (work: ReservedWork) => void) {}

	/** Requests with reserved work. */
	get size(): number {
		return this.#requests.size;
	}

	/** Reserves work until its stage is reached, the request ends, or its deadline passes. */
	add(requestId: string, deadlineMs: Ms, works: readonly ReservedWork[]): void {
		this.#sweep();
		if (works.length > 0) {
			this.release(requestId);
			this.#requests.set(requestId, {deadlineMs, works: [...works]});
		}
	}

	/** The request reached a stage. */
	reached(requestId: string, stage: string): void {
		const request = this.#requests.get(requestId);
		const index = request?.works.findIndex(work => work.stage === stage) ?? -1;
		if (index === -1) {
			return;
		}

		const [work] = request!.works.splice(index, 1);
		this.onRelease(work!);
		if (request!.works.length === 0) {
			this.#requests.delete(requestId);
		}
	}

	/** The request ended. */
	release(requestId: string): void {
		const request = this.#requests.get(requestId);
		if (request) {
			this.#requests.delete(requestId);
			for (const work of request.works) {
				this.onRelease(work);
			}
		}
	}

	/** A request can end without a word, for example when its claim is lost. */
	#sweep(): void {
		const now = this.clock.now();
		if (now - this.#sweptAt < sweepMs) {
			return;
		}

		this.#sweptAt = now;
		for (const [requestId, {deadlineMs}] of this.#requests) {
			if (deadlineMs < now) {
				this.release(requestId);
			}
		}
	}
}
