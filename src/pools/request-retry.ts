import type {Clock, Ms} from '../clock/index.js';
import type {RetryLoans} from './retry-loans.js';
import {
	retryLoanMs, type HeldRemainder, type RetryLimits, type ServiceRetryBudget,
} from './service-retry-budget.js';

/** Added to what is borrowed, so that the rounding error of a sum does not deny a retry. */
const roundingPart = 1e-6;

/** Part of a retry that is borrowed, with the limits under which it was. */
type Borrowed = {readonly amount: number; readonly untilMs: Ms; readonly limits: RetryLimits};

/** Options of {@link RequestRetry}. */
export interface RequestRetryOptions {
	readonly clock: Clock;
	readonly budget: ServiceRetryBudget;
	readonly service: string;
	/** Other entry VMs that lend what the budget lacks for a retry. */
	readonly loans: Pick<RetryLoans, 'borrow' | 'mayBorrow'>;
}

/**
 * The retry that a request reserves for its next attempt, from the budget of this entry VM and, for what it lacks, from
 * those of others.
 *
 * @example
 * await retry.prepare();
 * if (retry.reserve()) { … retry.recordSent(); }
 */
export class RequestRetry {
	static create(options: RequestRetryOptions): RequestRetry {
		return new RequestRetry(options);
	}

	#borrowed: Borrowed | undefined;
	/** Part of the retry that is held in the own budget while the rest is borrowed, so that other requests do not count on it. */
	#held: HeldRemainder | undefined;
	/** Part of the retry that is reserved in the own budget; `undefined` without a reserved retry. */
	#reserved: number | undefined;

	private constructor(private readonly options: RequestRetryOptions) {}

	/** Whether a retry may be reserved now, or once `prepare` has borrowed a part of it. */
	get isPossible(): boolean {
		const {budget, clock, loans, service} = this.options;
		return this.#reserved !== undefined || budget.canSpend(clock.now()) || this.#lentAmount > 0 || loans.mayBorrow(service);
	}

	/** Borrows what the budget lacks for a retry, if nothing is reserved yet. */
	async prepare(): Promise<void> {
		const {budget, clock, loans, service} = this.options;
		const startedMs = clock.now();
		if (this.#reserved !== undefined || this.#lentAmount > 0 || budget.canSpend(startedMs) || !loans.mayBorrow(service)) {
			return;
		}

		const {limits} = budget;
		this.#releaseHeld();
		const held = budget.holdSpare(startedMs);
		this.#held = held;
		const amount = await loans.borrow(service, Math.min(1, 1 + roundingPart - held.amount));
		this.#borrowed = amount > 0 ? {amount, untilMs: startedMs + retryLoanMs, limits} : undefined;
		if (amount === 0) {
			budget.releaseHeld(held);
		}
	}

	/** Reserves a retry for the next attempt, unless one is reserved; returns whether one is. */
	reserve(): boolean {
		const {budget, clock} = this.options;
		if (this.#reserved === undefined) {
			const borrowed = this.#lentAmount;
			this.#releaseHeld();
			if (budget.reserve(clock.now(), 1, borrowed)) {
				this.#reserved = 1 - borrowed;
			}
		}

		return this.#reserved !== undefined;
	}

	/** Reserves a retry again if the loan for the reserved one has ended before it is sent; returns whether the next attempt may be sent. */
	async renew(): Promise<boolean> {
		if (this.#reserved === undefined || !this.#borrowed || this.#lentAmount > 0) {
			return true;
		}

		this.release();
		await this.prepare();
		return this.reserve();
	}

	/** Records that the reserved retry, if any, is sent now. */
	recordSent(): void {
		if (this.#reserved !== undefined) {
			this.options.budget.recordSent(this.options.clock.now(), this.#reserved);
		}

		this.#reserved = undefined;
		this.#borrowed = undefined;
	}

	/** Releases the reserved retry, if any. */
	release(): void {
		if (this.#reserved !== undefined) {
			this.options.budget.release(this.#reserved);
		}

		this.#releaseHeld();
		this.#reserved = undefined;
		this.#borrowed = undefined;
	}

	#releaseHeld(): void {
		if (this.#held) {
			this.options.budget.releaseHeld(this.#held);
		}

		this.#held = undefined;
	}

	/** Borrowed part of a retry that may still be used. */
	get #lentAmount(): number {
		const {budget, clock} = this.options;
		return this.#borrowed && clock.now() < this.#borrowed.untilMs && this.#borrowed.limits === budget.limits ? this.#borrowed.amount : 0;
	}
}
