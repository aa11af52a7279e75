import type {Clock, Ms} from '../clock/index.js';
import {
	PendingReplies, type Link, type LinkMessage, type RelayMesh,
} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import {LoanSources} from './loan-sources.js';
import {retryLoanMs, type RetryLoan, type ServiceRetryBudget} from './service-retry-budget.js';

/** Time for which the leader waits for loans; twice that, and the way to the leader, must end well before the loans. */
const lenderTimeoutMs: Ms = 150;
const leaderTimeoutMs: Ms = 400;
/** Number of times that the leader asks for what is still missing. */
const maxRounds = 2;
/** Time for which an entry VM does not ask again at a service whose budgets did not suffice; with 500 ms, a shortage took 2 messages a second and entry VM. */
const deniedMs: Ms = 2000;
/** Least part of a retry that a lender is expected to have, such as half of the ratio for one request. */
const minUsual = 0.1;
/** Maximum number of loans that may be returned, those of about a second. */
const maxOpenLoans = 1000;

/** Link message about loans of retries. */
export type RetryLoanMessage = LinkMessage & {type: 'retry-request' | 'retry-loan-request' | 'retry-loan' | 'retry-loan-return'};

/** Options of {@link RetryLoans}. */
export interface RetryLoansOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly mesh: () => Pick<RelayMesh, 'leader' | 'links'> | undefined;
	readonly budgetOf: (service: string) => ServiceRetryBudget;
}

/** Part of a retry that other entry VMs have lent. */
type Loan = {readonly amount: number; readonly leftAmount: number};
type OpenLoan = {readonly loan: RetryLoan; readonly budget: ServiceRetryBudget};

/**
 * Lends parts of retries between the entry VMs of a cell: shares of a retry budget may be too small for one retry. An entry
 * VM that lacks a part of a retry asks the leader, which collects it from the others. Each lender charges its own budget
 * before it replies, until a window after the end of the loan, whatever becomes of the borrower, the leader or the reply.
 *
 * @example
 * const amount = await loans.borrow('engine', 0.8); // 0.8, or 0 if the others do not have it
 */
export class RetryLoans {
	static create(options: RetryLoansOptions): RetryLoans {
		return new RetryLoans(options);
	}

	readonly #replies: PendingReplies<Loan>;
	readonly #sources = new Map<string, LoanSources<Link | RetryLoans>>();
	readonly #deniedUntilMs = new Map<string, Ms>();
	/** Loans to leaders that may return them, by link and id. */
	readonly #open = new Map<Link, Map<number, OpenLoan>>();

	private constructor(private readonly options: RetryLoansOptions) {
		this.#replies = PendingReplies.create(options.clock);
	}

	/** Whether asking for a part of a retry makes sense now. */
	mayBorrow(service: string): boolean {
		const mesh = this.options.mesh();
		return (mesh?.links().length ?? 0) > 0 && this.options.clock.now() >= (this.#deniedUntilMs.get(service) ?? -Infinity);
	}

	/**
	 * Resolves with the part of a retry that other entry VMs pay for: `needed`, or 0 if they do not have it or do not reply in
	 * time. The retry must be sent within `retryLoanMs` of the call.
	 */
	async borrow(service: string, needed: number): Promise<number> {
		const {clock, logger, mesh} = this.options;
		const startedMs = clock.now();
		const leader = mesh()?.leader();
		const reply = leader
			? await this.#replies.request(leader, leaderTimeoutMs, id => leader.send({
				type: 'retry-request', id, service, amount: needed,
			}))
			: {amount: await this.#collect(service, needed)};
		const isEnough = typeof reply !== 'string' && reply.amount >= needed && clock.now() - startedMs < retryLoanMs;
		logger.info(isEnough ? 'Borrowed a part of a retry.' : 'Cannot borrow a part of a retry: the other entry VMs do not have it, or do not reply.', {
			service, amount: Math.round(needed * 100) / 100, leader: leader?.peer.name ?? 'self', cause: typeof reply === 'string' ? reply : undefined, took_ms: Math.round(clock.now() - startedMs),
		});
		if (!isEnough) {
			this.#deniedUntilMs.set(service, clock.now() + deniedMs);
		}

		return isEnough ? needed : 0;
	}

	/** Handles a message of a peer. */
	receive(link: Link, message: RetryLoanMessage): void {
		switch (message.type) {
			case 'retry-request': {
				void this.#serve(link, message);
				break;
			}

			case 'retry-loan-request': {
				const {id, service, amount} = message;
				const budget = this.options.budgetOf(service);
				const loan = budget.lend(this.options.clock.now(), amount);
				if (link.send({
					type: 'retry-loan', id, amount: loan.amount, leftAmount: budget.lendable(this.options.clock.now()),
				})) {
					this.#keepOpen(link, id, {loan, budget});
				}

				break;
			}

			case 'retry-loan': {
				this.#replies.reply(link, message.id, message);
				break;
			}

			case 'retry-loan-return': {
				const open = this.#open.get(link)?.get(message.id);
				open?.budget.takeBack(open.loan, message.amount);
				this.#open.get(link)?.delete(message.id);
				break;
			}
		}
	}

	/** Ends the requests that were sent over a link. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
		this.#open.delete(link);
	}

	async #serve(link: Link, {id, service, amount}: RetryLoanMessage & {type: 'retry-request'}): Promise<void> {
		const collected = await this.#collect(service, amount, link);
		link.send({
			type: 'retry-loan', id, amount: collected, leftAmount: 0,
		});
	}

	/** Collects a part of a retry from this entry VM and its peers, but the one that asks; returns `needed` or 0. */
	async #collect(service: string, needed: number, asker?: Link): Promise<number> {
		const {clock, mesh, budgetOf} = this.options;
		const budget = budgetOf(service);
		const sources = this.#sources.get(service) ?? LoanSources.create<Link | RetryLoans>();
		this.#sources.set(service, sources);
		const lenders = [...(asker ? [this as RetryLoans] : []), ...(mesh()?.links() ?? []).filter(link => link !== asker)];
		const takeBacks: Array<() => void> = [];
		let missing = needed;
		for (let round = 0; round < maxRounds && missing > 0; round++) {
			const now = clock.now();
			if (asker) {
				sources.record(this, budget.lendable(now), now);
			}

			const chosen = sources.choose(lenders, {needed: missing, usual: Math.max(minUsual, budget.state(now).slack), now});
			const loans = await Promise.all(chosen.map(async ({lender, amount}) => {
				if (lender instanceof RetryLoans) {
					const loan = budget.lend(now, amount);
					takeBacks.push(() => {
						budget.takeBack(loan, loan.amount);
					});
					return loan.amount;
				}

				let id = 0;
				const reply = await this.#replies.request(lender, lenderTimeoutMs, sentId => {
					id = sentId;
					return lender.send({
						type: 'retry-loan-request', id, service, amount,
					});
				});
				if (typeof reply === 'string') {
					sources.record(lender, 0, clock.now());
					return 0;
				}

				sources.record(lender, reply.leftAmount, clock.now());
				if (reply.amount > 0) {
					takeBacks.push(() => {
						lender.send({type: 'retry-loan-return', id, amount: reply.amount});
					});
				}

				return reply.amount;
			}));
			// The rounding errors of the sum count as lent.
			missing = Math.max(0, missing - loans.reduce((sum, amount) => sum + amount, 1e-9));
		}

		if (missing === 0) {
			return needed;
		}

		for (const takeBack of takeBacks) {
			takeBack();
		}

		return 0;
	}

	#keepOpen(link: Link, id: number, loan: OpenLoan): void {
		const open = this.#open.get(link) ?? new Map<number, OpenLoan>();
		this.#open.set(link, open);
		open.set(id, loan);
		if (open.size > maxOpenLoans) {
			open.delete(open.keys().next().value!);
		}
	}
}
