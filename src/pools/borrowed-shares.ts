import type {Ms} from '../clock/index.js';

/**
 * Shares that other entry VMs have lent to this one, by the incarnation of their owner.
 *
 * @example
 * shares.borrow(link.peer.incarnation, now);
 * const slack = limits.slack * shares.count(now) / entryVms;
 */
export class BorrowedShares {
	static create({loanMs}: {loanMs: Ms}): BorrowedShares {
		return new BorrowedShares(loanMs);
	}

	readonly #loans = new Map<string, {readonly untilMs: Ms; readonly spent: number}>();
	#isClosed = false;

	private constructor(private readonly loanMs: Ms) {}

	/**
	 * Records that an owner lends its share, for the time of a loan from now on; does nothing while loans are refused. `spent`
	 * is the number of retries that earlier hosts have paid for with it.
	 */
	borrow(owner: string, now: Ms, spent = 0): void {
		if (!this.#isClosed) {
			this.#loans.set(owner, {untilMs: now + this.loanMs, spent});
		}
	}

	/** Ends all loans and refuses others, also those that are under way; returns the owners. */
	close(): string[] {
		this.#isClosed = true;
		const owners = [...this.#loans.keys()];
		this.#loans.clear();
		return owners;
	}

	/** Takes loans again. */
	open(): void {
		this.#isClosed = false;
	}

	/** Ends the loan of an owner. */
	giveBack(owner: string): void {
		this.#loans.delete(owner);
	}

	/** Returns the number of shares that may be used. */
	count(now: Ms): number {
		for (const [owner, {untilMs}] of this.#loans) {
			if (untilMs <= now) {
				this.#loans.delete(owner);
			}
		}

		return this.#loans.size;
	}

	/** Returns the number of retries that earlier hosts have paid for with these shares. */
	spent(now: Ms): number {
		return this.count(now) === 0 ? 0 : [...this.#loans.values()].reduce((sum, loan) => sum + loan.spent, 0);
	}
}
