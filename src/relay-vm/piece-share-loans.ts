import type {CancelTimer, Clock, Ms} from '../clock/index.js';
import type {LinkIdentity, RelayMesh} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import {shareRenewalMs, type PoolHost, type RetryBudgets} from '../pools/index.js';

/** Interval of the tries to lend the share of the retries of pieces to another host than before. */
const shareRetryMs: Ms = 100;

/** Options of {@link PieceShareLoans}. */
export interface PieceShareLoansOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	readonly self: Pick<LinkIdentity, 'incarnation'>;
	readonly mesh: () => Pick<RelayMesh, 'leader' | 'links'> | undefined;
	readonly budgets: Pick<RetryBudgets, 'lend' | 'spentOfShare' | 'returnLoans'>;
	readonly host: Pick<PoolHost, 'retryBudgets'>;
	/** Whether the host of the stage pools is known. */
	readonly isReady: () => boolean;
}

/**
 * Lends this entry VM's share of the retries of pieces to the host of the stage pools, and returns the shares that others
 * have lent to this entry VM as the host.
 *
 * @example
 * loans.start();
 */
export class PieceShareLoans {
	static create(options: PieceShareLoansOptions): PieceShareLoans {
		return new PieceShareLoans(options);
	}

	#cancelRenewal: CancelTimer = () => undefined;

	private constructor(private readonly options: PieceShareLoansOptions) {}

	/** Lends the share, and does so again before the loan is over. */
	start(): void {
		this.#renew();
	}

	close(): void {
		this.#cancelRenewal();
	}

	/**
	 * Returns the shares that were lent to this entry VM as the host of the stage pools, with what it has spent of them, if there
	 * is a next host and no reserved retry is still to be sent; returns whether it did.
	 */
	returnShares(): boolean {
		const {clock, logger, host, budgets} = this.options;
		const mesh = this.options.mesh();
		const now = clock.now();
		const pieces = host.retryBudgets().map(({state}) => state);
		if (!mesh?.leader() || pieces.some(({reserved}) => reserved > 0)) {
			return false;
		}

		const {owners, spent} = budgets.returnLoans(pieces, now);
		for (const link of mesh.links()) {
			if (owners.includes(link.peer.incarnation)) {
				link.send({type: 'share-return', ...(spent > 0 ? {spent} : {})});
			}
		}

		if (owners.length > 0) {
			logger.info('Returned the shares of retries that were lent to this host.', {owners: owners.length, spent_of_each: Math.round(spent * 100) / 100});
		}

		return true;
	}

	#renew(): void {
		this.#cancelRenewal();
		const isLent = this.options.isReady() && this.#lend();
		this.#cancelRenewal = this.options.clock.after(isLent ? shareRenewalMs : shareRetryMs, () => {
			this.#renew();
		});
	}

	#lend(): boolean {
		const {clock, mesh, budgets, self} = this.options;
		const leader = mesh()?.leader();
		const now = clock.now();
		const isLent = budgets.lend((leader?.peer ?? self).incarnation, now);
		const spent = budgets.spentOfShare(now);
		return isLent && (leader?.send({type: 'share-loan', ...(spent > 0 ? {spent} : {})}) ?? true);
	}
}
