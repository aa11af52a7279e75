import type {Clock, Ms} from '../clock/index.js';
import {
	PendingReplies, type Link, type LinkMessage, type RelayMesh,
} from '../links/index.js';
import type {PartLogger} from '../logging/index.js';
import {leaseMs, Vote} from './vote.js';

/** Time that members have to reply; they are in the same region. */
const replyTimeoutMs: Ms = 250;
/** Remaining time of a lease below which it is renewed. */
const renewBelowMs: Ms = 1500;

/** Link message about votes. */
export type LeaseMessage = LinkMessage & {type: 'permit-vote-request' | 'permit-vote'};

/** Operations of the mesh that leases use. */
export type LeaseMesh = Pick<RelayMesh, 'leader' | 'links' | 'isInCell' | 'cellSize'>;

/** Dependencies of {@link CoordinatorLease}. */
export interface CoordinatorLeaseOptions {
	readonly clock: Clock;
	readonly logger: PartLogger;
	/** Incarnation of this entry VM. */
	readonly self: string;
	readonly mesh: () => LeaseMesh | undefined;
}

/**
 * Lease of the entry VM that grants permits for its cell: the votes of more than half of the members, for two seconds at a
 * time. It is asked for only while permits are.
 *
 * @example
 * const untilMs = await lease.hold();
 */
export class CoordinatorLease {
	static create(options: CoordinatorLeaseOptions): CoordinatorLease {
		return new CoordinatorLease(options);
	}

	readonly #vote: Vote;
	readonly #replies: PendingReplies<boolean>;
	#untilMs: Ms = -Infinity;
	#renewing: Promise<void> | undefined;
	/** Result of the latest try, of which only changes are logged. */
	#wasRenewed: boolean | undefined;

	private constructor(private readonly options: CoordinatorLeaseOptions) {
		this.#vote = Vote.create(options.clock.now());
		this.#replies = PendingReplies.create(options.clock);
	}

	/** Resolves with the time until which this entry VM holds the lease, or with `undefined` without one. */
	async hold(): Promise<Ms | undefined> {
		const {clock} = this.options;
		if (this.#untilMs - clock.now() < renewBelowMs) {
			this.#renewing ??= this.#renewOnce();
			if (this.#untilMs <= clock.now()) {
				await this.#renewing;
			}
		}

		return this.#untilMs > clock.now() ? this.#untilMs : undefined;
	}

	/** Handles a message of a peer. The vote goes to the leader of the cell only. */
	receive(link: Link, message: LeaseMessage): void {
		if (message.type === 'permit-vote') {
			this.#replies.reply(link, message.id, message.isGranted);
			return;
		}

		const isGranted = this.options.mesh()?.leader() === link && this.#vote.give(link.peer.incarnation, this.options.clock.now());
		link.send({type: 'permit-vote', id: message.id, isGranted});
	}

	/** Ends the requests for votes that were sent over a link. */
	linkLost(link: Link): void {
		this.#replies.linkLost(link);
	}

	/** Renews the lease, and lets it be renewed again once that has ended, which is never before the caller has noted it. */
	async #renewOnce(): Promise<void> {
		try {
			await this.#renew();
		} finally {
			this.#renewing = undefined;
		}
	}

	/** Asks the members for their votes; resolves once more than half have given theirs, or no more replies can come. */
	async #renew(): Promise<void> {
		const {clock, self, mesh} = this.options;
		const links = mesh();
		const askedMs = clock.now();
		if (!links || links.leader()) {
			return;
		}

		const members = links.links().filter(link => links.isInCell(link.peer.zone));
		const needed = Math.floor(links.cellSize / 2) + 1;
		let votes = this.#vote.give(self, askedMs) ? 1 : 0;
		const count = (isGranted: boolean) => {
			votes += isGranted ? 1 : 0;
			if (votes >= needed) {
				// Members count from when they vote, which is later.
				this.#untilMs = Math.max(this.#untilMs, askedMs + leaseMs);
			}
		};

		count(false);
		await new Promise<void>(resolve => {
			let open = members.length;
			if (open === 0) {
				resolve();
			}

			for (const link of members) {
				void (async () => {
					const reply = await this.#replies.request(link, replyTimeoutMs, id => link.send({type: 'permit-vote-request', id}));
					count(reply === true);
					open--;
					if (open === 0 || votes >= needed) {
						resolve();
					}
				})();
			}
		});
		this.#log({votes, needed, askedMs});
	}

	/** Logs a try that has another result than the one before. */
	#log({votes, needed, askedMs}: {votes: number; needed: number; askedMs: Ms}): void {
		const {clock, logger} = this.options;
		const isRenewed = votes >= needed;
		if (isRenewed !== this.#wasRenewed) {
			this.#wasRenewed = isRenewed;
			logger.info(isRenewed ? 'Has the lease to grant permits for cold targets.' : 'Cannot grant permits for cold targets: too few members of the cell gave their votes.', {votes, needed, took_ms: Math.round(clock.now() - askedMs)});
		}
	}
}
