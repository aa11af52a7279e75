import type {Ms} from '../clock/index.js';

/** Time for which what an entry VM could lend when it was last asked is still expected: what it has lent counts for more than a window. */
const knownMs: Ms = 8000;
/** Parts of a retry below this are not worth a message. */
const minAmount = 0.05;
/** Maximum number of entry VMs asked for one retry, which bounds the messages of a shortage. */
const maxAsked = 16;

/** An entry VM that is asked for a part of a retry. */
export interface LoanSource<T> {
	readonly lender: T;
	readonly amount: number;
}

/**
 * Chooses the entry VMs to ask for parts of a retry, by what each could lend when it was last asked.
 *
 * @example
 * sources.choose(links, {needed: 0.8, usual: 0.1, now}); // [{lender: link, amount: 0.1}, …]
 */
export class LoanSources<T extends object> {
	static create<T extends object>(): LoanSources<T> {
		return new LoanSources<T>();
	}

	readonly #known = new WeakMap<T, {amount: number; atMs: Ms}>();
	#next = 0;

	/** Records what a lender could lend further at a time. */
	record(lender: T, amount: number, now: Ms): void {
		this.#known.set(lender, {amount, atMs: now});
	}

	/**
	 * Returns the lenders to ask and how much of each, those with most first, so that few are asked; none if they are not
	 * expected to have `needed` in all.
	 * A lender that has not been asked lately is expected to have `usual`, or an equal part of what the others lack if that is
	 * more: only its reply tells whether it has counted requests that this entry VM knows nothing of.
	 */
	choose(lenders: readonly T[], {needed, usual, now}: {needed: number; usual: number; now: Ms}): Array<LoanSource<T>> {
		const first = this.#next % Math.max(1, lenders.length);
		const known = lenders.map(lender => this.#knownAmount(lender, now)).filter(amount => amount !== undefined);
		// Only these are asked.
		const usable = known.filter(amount => amount >= minAmount).toSorted((a, b) => b - a).slice(0, maxAsked);
		const unaskedCount = Math.max(1, Math.min(maxAsked - usable.length, lenders.length - known.length));
		const unasked = Math.max(usual, (needed - usable.reduce((sum, amount) => sum + amount, 0)) / unaskedCount);
		const expected = [...lenders.slice(first), ...lenders.slice(0, first)]
			.map(lender => ({lender, amount: this.#knownAmount(lender, now) ?? unasked}))
			.filter(({amount}) => amount >= minAmount)
			.toSorted((a, b) => b.amount - a.amount)
			.slice(0, maxAsked);
		let left = needed;
		const chosen: Array<LoanSource<T>> = [];
		for (const {lender, amount} of expected) {
			if (left <= 0) {
				break;
			}

			chosen.push({lender, amount: Math.min(1, amount, left)});
			left -= amount;
		}

		this.#next = first + chosen.length;
		return left > 1e-9 ? [] : chosen;
	}

	/** Returns what a lender could lend when it was last asked; `undefined` if that is too long ago. */
	#knownAmount(lender: T, now: Ms): number | undefined {
		const known = this.#known.get(lender);
		return known && now - known.atMs < knownMs ? known.amount : undefined;
	}
}
