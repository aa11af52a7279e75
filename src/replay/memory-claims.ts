import type {
	IdempotencyKey, ClaimOutcome, Claim, ClaimDecision, ClaimService,
} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';

type ClaimEntry = {claimId: string; outcome: ClaimOutcome | undefined; waiters: Set<() => void>};

/** Latency of an append to the platform's log and its read-back. */
const claimLatencyMs: Ms = 6;

/** In-memory claims of all entry VMs of a replay, totally ordered as by the platform's log. @internal */
export class MemoryClaims {
	readonly #entries = new Map<string, ClaimEntry>();
	#nextId = 0;

	constructor(private readonly clock: Clock) {}

	/** Returns the claim service of one entry VM. `isLogDown` tells whether the log is unreachable from that entry VM. */
	forEntryVm(isLogDown: () => boolean): ClaimService {
		return {
			acquire: (key, deadlineMs) => this.#acquire(key, deadlineMs, isLogDown()),
			settle: (claim, outcome) => {
				this.#settle(claim, outcome);
			},
			release: claim => {
				this.#release(claim);
			},
		};
	}

	async #acquire(key: IdempotencyKey, deadlineMs: Ms, isLogDown: boolean): Promise<ClaimDecision> {
		const keyHash = JSON.stringify([key.team, key.pipeline, key.key, key.notAfterMs]);
		if (isLogDown) {
			return key.attempt > 1 || this.#entries.has(keyHash)
				? {type: 'unknown', reason: 'earlier_attempt_unknown'}
				: {type: 'not_run', reason: 'log_unavailable'};
		}

		await this.clock.sleep(claimLatencyMs);
		const held = this.#entries.get(keyHash);
		if (held) {
			return this.#waitFor(held, deadlineMs);
		}

		const claim: Claim = {keyHash, claimId: String(this.#nextId++)};
		this.#entries.set(keyHash, {claimId: claim.claimId, outcome: undefined, waiters: new Set()});
		return {type: 'won', claim};
	}

	#settle(claim: Claim, outcome: ClaimOutcome): void {
		const entry = this.#entries.get(claim.keyHash);
		if (entry?.claimId === claim.claimId) {
			entry.outcome = outcome;
			notifyWaiters(entry);
		}
	}

	#release(claim: Claim): void {
		const entry = this.#entries.get(claim.keyHash);
		if (entry?.claimId === claim.claimId) {
			this.#entries.delete(claim.keyHash);
			notifyWaiters(entry);
		}
	}

	async #waitFor(entry: ClaimEntry, deadlineMs: Ms): Promise<ClaimDecision> {
		if (!entry.outcome) {
			const settled = new AbortController();
			const onSettled = () => {
				settled.abort();
			};

			entry.waiters.add(onSettled);
			await this.clock.sleep(Math.max(0, deadlineMs - this.clock.now()), settled.signal);
			entry.waiters.delete(onSettled);
		}

		return entry.outcome?.type === 'done'
			? {type: 'done', answer: entry.outcome.answer}
			: {type: 'unknown', reason: 'earlier_attempt_unknown'};
	}
}

function notifyWaiters(entry: ClaimEntry): void {
	for (const waiter of entry.waiters) {
		waiter();
	}
}
