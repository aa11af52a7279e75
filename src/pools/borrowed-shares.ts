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

	readonly #untilMs = new Map<string, Ms>();
	#isClosed = false;

	private constructor(private readonly loanMs: Ms) {}

	/** Records that an owner lends its share, for the time of a loan from now on; does nothing while loans are refused. */
	borrow(owner: string, now: Ms): void {
		if (!this.#isClosed) {
			this.#untilMs.set(owner, now + this.loanMs);
		}
	}

	/** Ends all loans and refuses others, also those that are under way; returns the owners. */
	close(): string[] {
		this.#isClosed = true;
		const owners = [...this.#untilMs.keys()];
		this.#untilMs.clear();
		return owners;
	}

	/** Takes loans again. */
	open(): void {
		this.#isClosed = false;
	}

	/** Ends the loan of an owner. */
	giveBack(owner: string): void {
		this.#untilMs.delete(owner);
	}

	/** Returns the number of shares that may be used. */
	count(now: Ms): number {
		for (const [owner, untilMs] of this.#untilMs) {
			if (untilMs <= now) {
				this.#untilMs.delete(owner);
			}
		}

		return this.#untilMs.size;
	}
}
