import type {Clock, Ms} from '../clock/index.js';

/** Lower bound of the floor: number of retries that a team with little traffic can make at once. */
const minFloorRetries = 3;
/** Time in which an empty balance refills to its floor. */
const floorRefillMs: Ms = 6000;
/** Maximum balance, so that long error-free operation does not permit a retry storm. */
const maxBalance = 50;

type Balance = {retries: number; updatedAt: Ms};

/**
 * Retry budget per team and pool: each success adds a fraction of a retry, and the balance refills over time to a small
 * floor.
 *
 * @example
 * const budget = RetryBudget.create({clock, ratio: () => 0.1});
 * budget.spend('engravers', 'engines');
 */
export class RetryBudget {
	/**
	 * `ratio` is the fraction of a retry that a success adds. `floor` is the number of retries that a team can make in a pool
	 * without earlier successes. It must cover the calls that fail when one target is lost; otherwise their requests fail
	 * although another target could complete them.
	 */
	static create(options: {clock: Clock; ratio: () => number; floor?: (pool: string) => number}): RetryBudget {
		return new RetryBudget(options.clock, options.ratio, options.floor ?? (() => minFloorRetries));
	}

	readonly #balances = new Map<string, Map<string, Balance>>();

	private constructor(private readonly clock: Clock, private readonly ratio: () => number, private readonly floor: (pool: string) => number) {}

	/** Adds the fraction of a retry earned by a successful call. */
	earn(team: string, pool: string): void {
		const balance = this.#balance(team, pool);
		balance.retries = Math.min(maxBalance, balance.retries + this.ratio());
	}

	/** Spends one retry; returns false when none is left. */
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
		const floor = Math.min(maxBalance, Math.max(minFloorRetries, this.floor(pool)));
		let balance = pools.get(pool);
		if (!balance) {
			balance = {retries: floor, updatedAt: now};
			pools.set(pool, balance);
		}

		if (balance.retries < floor) {
			balance.retries = Math.min(floor, balance.retries + (floor * (now - balance.updatedAt) / floorRefillMs));
		}

		balance.updatedAt = now;
		return balance;
	}
}
