import type {Clock, Ms} from '../clock/index.js';

/** Retries that a team with little traffic can make at once. */
const floorRetries = 3;
/** Time in which an empty budget refills to its floor. */
const floorRefillMs: Ms = 6000;
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
	/**
	 * `floor` is the number of retries that a team can make at once in a pool without earlier successes. It must cover
	 * the calls that one lost target takes with it, or their requests are lost although another target could finish them.
	 */
	static create(options: {clock: Clock; ratio: () => number; floor?: (pool: string) => number}): RetryBudget {
		return new RetryBudget(options.clock, options.ratio, options.floor ?? (() => floorRetries));
	}

	readonly #balances = new Map<string, Map<string, Balance>>();

	private constructor(private readonly clock: Clock, private readonly ratio: () => number, private readonly floor: (pool: string) => number) {}

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
		const floor = Math.min(maxRetries, Math.max(floorRetries, this.floor(pool)));
		let balance = pools.get(pool);
		if (!balance) {
			balance = {retries: floor, at: now};
			pools.set(pool, balance);
		}

		if (balance.retries < floor) {
			balance.retries = Math.min(floor, balance.retries + (floor * (now - balance.at) / floorRefillMs));
		}

		balance.at = now;
		return balance;
	}
}
