import type {Clock, Ms} from '../clock/index.js';

/**
 * Time within one turn of the event loop after which responses are read on only in a later turn. A new connection and a
 * relayed request take several turns, and Node.js accepts few connections in each.
 */
const maxTurnMs: Ms = 5;

/** Options of {@link TurnBudget}. */
export interface TurnBudgetOptions {
	readonly clock: Pick<Clock, 'now'>;
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
	readonly #waiting: Array<() => void> = [];

	private constructor(private readonly clock: Pick<Clock, 'now'>, private readonly defer: (fn: () => void) => void) {}

	/** Records that data is handled in this turn; call it before. */
	begin(): void {
		if (this.#startedMs === undefined) {
			this.#startedMs = this.clock.now();
			this.defer(() => {
				this.#startedMs = undefined;
				this.#callWaiting();
			});
		}
	}

	/** Whether the time of this turn is used up. */
	isUsedUp(): boolean {
		return this.#startedMs !== undefined && this.clock.now() - this.#startedMs >= maxTurnMs;
	}

	/** Calls `fn` in one of the next turns, after those that have waited longer. */
	onLaterTurn(fn: () => void): void {
		this.begin();
		this.#waiting.push(fn);
	}

	/** Lets those that wait go on, until the time of this turn is used up too. */
	#callWaiting(): void {
		if (this.#waiting.length > 0) {
			this.begin();
		}

		while (this.#waiting.length > 0 && !this.isUsedUp()) {
			this.#waiting.shift()!();
		}
	}
}
