import type {Ms} from '../clock/index.js';

/** Options of a {@link ShareLender}. */
export interface ShareLenderOptions {
	/** Time until which an earlier process may have lent the share; `-Infinity` if there was none. */
	readonly lentUntilMs: Ms;
	/** Time for which each loan holds. */
	readonly loanMs: Ms;
	/** Returns the time between the end of a loan and one to another host. */
	readonly gapMs: () => Ms;
}

/**
 * Lends a share to one host at a time: another host gets it only once the loan of the one before has been over for a
 * while, so that no two hosts use it in the same window, whatever they know of each other.
 *
 * @example
 * if (lender.lend(leader, now)) { … }
 */
export class ShareLender {
	static create(options: ShareLenderOptions): ShareLender {
		return new ShareLender(options);
	}

	#host: string | undefined;
	#untilMs: Ms;
	/** Retries that earlier hosts have paid for with the share, which count against it until `untilMs`. */
	#spent = {amount: 0, untilMs: -Infinity};

	private constructor(private readonly options: ShareLenderOptions) {
		this.#untilMs = options.lentUntilMs;
	}

	/** Lends the share to a host, or renews its loan; returns whether the host may use it from now on for the time of a loan. */
	lend(host: string, now: Ms): boolean {
		const {loanMs, gapMs} = this.options;
		if (host !== this.#host && now < this.#untilMs + gapMs()) {
			return false;
		}

		this.#host = host;
		this.#untilMs = now + loanMs;
		return true;
	}

	/**
	 * Ends the loan of a host that uses no more of it, so that another host may get the share at once, less the retries that
	 * were paid for with it (`spent`).
	 */
	takeBack(host: string, {spent, now}: {spent: number; now: Ms}): void {
		if (host === this.#host) {
			this.#host = undefined;
			this.#untilMs = -Infinity;
			this.#spent = {amount: Math.max(spent, this.spent(now)), untilMs: now + this.options.gapMs()};
		}
	}

	/** Returns the number of retries that earlier hosts may have paid for with the share in the window. */
	spent(now: Ms): number {
		return now < this.#spent.untilMs ? this.#spent.amount : 0;
	}
}
