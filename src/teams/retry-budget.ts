import type {Clock, Ms} from '../clock/index.js';

/**
 * Retries that a team with little traffic can make at once: a target that dies ends the calls in all its slots, 8 by
 * default, and the one that takes them over can be gone as well when a zone is cut off.
 */
const floorRetries = 16;
/** Time in which the floor refills by one retry. */
const floorRefillMs: Ms = 2000;
/** Most retries saved up, so that a long quiet time does not allow a storm. */
const maxRetries = 50;

type Balance = {retries: number; at: Ms};

/**
 * Retry budget per team and pool: each success earns a fraction of a retry, and a small floor refills with time.
 *
 * @example
 * const budget = RetryBudget.create({clock, ratio: () => 0.1});
 * budget.spend('engravers', 'engines');
 */
export class RetryBudget {
	static create(options: {clock: Clock; ratio: () => number}): RetryBudget {
		return new RetryBudget(options.clock, options.ratio);
	}

	readonly #balances = new Map<string, Map<string, Balance>>();

	private constructor(private readonly clock: Clock, private readonly ratio: () => number) {}

	/** A call succeeded. */
	earn(team: string, pool: string): void {
		const balance = this.#balance(team, pool);
		balance.retries = Math.min(maxRetries, balance.retries + this.ratio());
	}

	/** Spends one retry; false when none is left. */
	spend(team: string, pool: string): boolean {
		const balance = this.#balance(team, pool);
		if (balance.retries < 1) {
			return false;
		}

		balance.retries--;
		return true;
	}

	#balance(team: string, pool: string): Balance {
		let pools = this.#balances.get(team);
		if (!pools) {
			pools = new Map();
			this.#balances.set(team, pools);
		}

		const now = this.clock.now();
		let balance = pools.get(pool);
		if (!balance) {
			balance = {retries: floorRetries, at: now};
			pools.set(pool, balance);
		}

		if (balance.retries < floorRetries) {
			balance.retries = Math.min(floorRetries, balance.retries + ((now - balance.at) / floorRefillMs));
		}

		balance.at = now;
		return balance;
	}
}
