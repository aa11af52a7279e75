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

	/** Ends the loan of a host that has used nothing of it, so that another host may get the share at once. */
	takeBack(host: string): void {
		if (host === this.#host) {
			this.#host = undefined;
			this.#untilMs = -Infinity;
		}
	}
}
