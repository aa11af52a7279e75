import type {Clock, Ms} from '../clock/index.js';

/** Time within one turn of the event loop after which larger responses rest. */
const maxTurnMs: Ms = 5;
/**
 * Time for which they rest, as a multiple of what they have taken, and its maximum. Node.js accepts few connections in
 * each turn, and a relayed request takes several turns, so that most of them have to be short.
 */
const restFactor = 2;
const maxRestMs: Ms = 50;

/** Options of {@link TurnBudget}. */
export interface TurnBudgetOptions {
	readonly clock: Pick<Clock, 'now' | 'after'>;
	/** Calls a function in the next turn; `setImmediate` by default. */
	readonly defer?: (fn: () => void) => void;
}

/**
 * Bounds the time for which the responses of targets hold up everything else that the process does. One turn of the event
 * loop reads up to 32 blocks of 64 KiB from each connection.
 *
 * @example
 * if (budget.isUsedUp()) { exchange.pause(); budget.onLaterTurn(() => exchange.resume()); }
 */
export class TurnBudget {
	static create({clock, defer = setImmediate}: TurnBudgetOptions): TurnBudget {
		return new TurnBudget(clock, defer);
	}

	#startedMs: Ms | undefined;
	/** Time that was taken when the budget was found to be used up; 0 before. */
	#usedMs: Ms = 0;
	readonly #waiting: Array<{fn: () => void; isReadLater: boolean}> = [];

	private constructor(private readonly clock: Pick<Clock, 'now' | 'after'>, private readonly defer: (fn: () => void) => void) {}

	/** Records that data is handled in this turn; call it before. */
	begin(): void {
		if (this.#startedMs === undefined) {
			this.#startedMs = this.clock.now();
			this.defer(() => {
				this.#endTurn();
			});
		}
	}

	/** Whether the time of this turn is used up, or larger responses still rest after one in which it was. */
	isUsedUp(): boolean {
		if (this.#usedMs === 0 && this.#startedMs !== undefined) {
			const takenMs = this.clock.now() - this.#startedMs;
			this.#usedMs = takenMs >= maxTurnMs ? takenMs : 0;
		}

		return this.#usedMs > 0;
	}

	/** Calls `fn` in one of the next turns, after those that have waited longer. */
	onLaterTurn(fn: () => void): void {
		this.begin();
		this.#waiting.push({fn, isReadLater: false});
	}

	/** Like `onLaterTurn`, for an `fn` after which data is handled in the turn that follows: one such is called in a turn. */
	beforeLaterTurn(fn: () => void): void {
		this.begin();
		this.#waiting.push({fn, isReadLater: true});
	}

	#endTurn(): void {
		if (this.#usedMs === 0) {
			this.#callWaiting();
		} else {
			this.clock.after(Math.min(maxRestMs, this.#usedMs * restFactor), () => {
				this.#callWaiting();
			});
		}
	}

	/** Starts anew, and lets those that wait go on until the time of this turn is used up too. */
	#callWaiting(): void {
		this.#startedMs = undefined;
		this.#usedMs = 0;
		if (this.#waiting.length > 0) {
			this.begin();
		}

		let isReadLater = false;
		while (this.#waiting.length > 0 && !isReadLater && !this.isUsedUp()) {
			const next = this.#waiting.shift()!;
			isReadLater = next.isReadLater;
			next.fn();
		}
	}
}
