import type {Ms} from '../clock/index.js';
import {BorrowedShares} from './borrowed-shares.js';
import {FleetSize} from './fleet-size.js';
import {
	ServiceRetryBudget, unknownWindows, type RetryBudgetState, type RetryLimits, type RetryShares, type RetrySpend,
} from './service-retry-budget.js';
import {ShareLender} from './share-lender.js';

/** Fraction of the ratio that is used: retries may follow in a window that the requests of the window before are not part of. */
const usedRatio = 0.5;
/** Fraction of the slack that is used; the rest covers entry VMs that some do not know of yet, and retries that arrive late. */
const usedSlack = 0.8;
/** Part of the retries at a service with a stage pool that is left for requests sent to it directly; the host of the pools pays for all repeated pieces with the rest. */
const directPart = 0.1;
/** Time for which an entry VM lends its share for pieces to the host of the pools, and the interval at which it renews the loan. */
export const shareLoanMs: Ms = 3000;
export const shareRenewalMs: Ms = 1000;

/** Options of {@link RetryBudgets}. */
export interface RetryBudgetsOptions {
	readonly limits: RetryLimits;
	/** Incarnation of this entry VM. */
	readonly self: string;
	/** Time of the start, before which an earlier process of this entry VM may have spent retries; `-Infinity` if there was none. */
	readonly startedMs: Ms;
	/** Whether a service has a stage pool, whose host pays for a part of its retries. */
	readonly isStageService: (service: string) => boolean;
	readonly onSpend?: (service: string, spend: RetrySpend) => void;
}

/**
 * Retry budgets of an entry VM, as the owner of requests, and its part in those of stage pools. The budgets of all entry
 * VMs add up to the limits of a service in every window, without any agreement: the ratio counts requests where they were
 * recorded, and the slack is divided by the largest number of entry VMs seen lately. Those that spend slack in a window
 * have all been running since before it, so that one which starts anew, at a time when the one before may have spent its
 * share, has none yet.
 *
 * @example
 * if (budgets.of('engine').spend(now)) { … }
 */
export class RetryBudgets {
	static create(options: RetryBudgetsOptions): RetryBudgets {
		return new RetryBudgets(options);
	}

	/** Fractions of the limits that a host of stage pools may use for pieces. */
	readonly pieceShares: RetryShares = {
		ratio: () => usedRatio * (1 - directPart),
		slack: now => Math.max(0, (usedSlack * (1 - directPart) * this.#borrowed.count(now) / this.#divisor(now)) - this.#spentFraction(now)),
	};

	readonly #budgets = new Map<string, ServiceRetryBudget>();
	readonly #fleet: FleetSize;
	readonly #lender: ShareLender;
	readonly #borrowed = BorrowedShares.create({loanMs: shareLoanMs});
	#limits: RetryLimits;

	private constructor(private readonly options: RetryBudgetsOptions) {
		this.#limits = options.limits;
		this.#fleet = FleetSize.create({keepMs: () => 2 * this.#limits.windowMs});
		this.#lender = ShareLender.create({
			lentUntilMs: options.startedMs + shareLoanMs, loanMs: shareLoanMs, gapMs: () => unknownWindows * this.#limits.windowMs,
		});
	}

	/** Replaces the limits; what was spent still counts. */
	setLimits(limits: RetryLimits, now: Ms): void {
		this.#limits = limits;
		for (const budget of this.#budgets.values()) {
			budget.setLimits(limits, now);
		}
	}

	/** Returns the budget of this entry VM for a service. */
	of(service: string): ServiceRetryBudget {
		let budget = this.#budgets.get(service);
		if (!budget) {
			const {startedMs, isStageService, onSpend} = this.options;
			const part = () => isStageService(service) ? directPart : 1;
			budget = ServiceRetryBudget.create({
				limits: this.#limits,
				share: now => usedSlack * part() / this.#divisor(now),
				ratioShare: () => usedRatio * part(),
				countedSinceMs: startedMs,
				onSpend(spend) {
					onSpend?.(service, spend);
				},
			});
			this.#budgets.set(service, budget);
		}

		return budget;
	}

	/** Records the number of entry VMs, this one included; `isCurrent` tells whether it comes from a list that is up to date. */
	recordEntryVms(count: number, seen: {now: Ms; isCurrent: boolean}): void {
		this.#fleet.record(count, seen);
	}

	/** Number of entry VMs that share the slack; `undefined` while it is not known. */
	entryVms(now: Ms): number | undefined {
		return this.#fleet.largest(now);
	}

	/** Number of entry VMs whose shares for pieces may be used here. */
	borrowedShares(now: Ms): number {
		return this.#borrowed.count(now);
	}

	/** Lends the share for pieces to the host of the pools, by its incarnation; returns whether the host may use it. */
	lend(host: string, now: Ms): boolean {
		const isLent = this.#lender.lend(host, now);
		if (isLent && host === this.options.self) {
			this.#borrowed.borrow(host, now, this.#lender.spent(now));
		}

		return isLent;
	}

	/** Number of retries that earlier hosts have paid for with the share that this entry VM lends. */
	spentOfShare(now: Ms): number {
		return this.#lender.spent(now);
	}

	/**
	 * Ends the loans of all owners, who may lend their shares to another host at once, and refuses others until `takeLoans`.
	 * `pieces` are the states of the budgets for pieces, none of which may have retries that are reserved and not sent.
	 * Returns the owners, by their incarnations, and the number of retries that were paid for with the share of each: those of
	 * the service with most, as the shares are for all services.
	 */
	returnLoans(pieces: readonly RetryBudgetState[], now: Ms): {owners: readonly string[]; spent: number} {
		const spentHere = Math.max(0, ...pieces.map(({retries, allowed, slack}) => retries - (allowed - slack)));
		const spentInAll = spentHere + this.#borrowed.spent(now);
		const owners = this.#borrowed.close();
		const spent = spentInAll / Math.max(1, owners.length);
		this.takeBack(this.options.self, {spent, now});
		return {owners: owners.filter(owner => owner !== this.options.self), spent};
	}

	/** Takes loans again, after `returnLoans`. */
	takeLoans(): void {
		this.#borrowed.open();
	}

	/** Records that the host of the pools has returned the share for pieces, with `spent` retries paid for with it. */
	takeBack(host: string, {spent = 0, now}: {spent?: number | undefined; now: Ms}): void {
		this.#lender.takeBack(host, {spent, now});
	}

	/** Records that another entry VM lends its share for pieces to this one; earlier hosts have paid for `spent` retries with it. */
	borrow(owner: string, now: Ms, spent = 0): void {
		this.#borrowed.borrow(owner, now, spent);
	}

	/** Ends the loan of an entry VM whose link is lost. */
	giveBack(owner: string): void {
		this.#borrowed.giveBack(owner);
	}

	/** Returns the state of each budget. */
	states(now: Ms): Array<{service: string; state: RetryBudgetState}> {
		return [...this.#budgets].map(([service, budget]) => ({service, state: budget.state(now)}));
	}

	/** Fraction of the slack that earlier hosts have spent of the borrowed shares. */
	#spentFraction(now: Ms): number {
		const spent = this.#borrowed.spent(now);
		return spent === 0 ? 0 : spent / this.#limits.slack;
	}

	#divisor(now: Ms): number {
		return this.#fleet.largest(now) ?? Infinity;
	}
}
