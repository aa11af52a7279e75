import type {
	IdempotencyKey, ClaimOutcome, Claim, ClaimDecision, ClaimService,
} from '../claims/index.js';
import type {Clock, Ms} from '../clock/index.js';

type Entry = {claimId: string; outcome: ClaimOutcome | undefined; waiters: Set<() => void>};

/** An append and its read-back at the platform's log. */
const claimMs: Ms = 6;

/** Claims of all entry VMs of a replay, in one total order as through the platform's log. @internal */
export class MemoryClaims {
	readonly #entries = new Map<string, Entry>();
	#next = 0;

	constructor(private readonly clock: Clock) {}

	/** The service as one entry VM sees it; `isLogDown` tells whether that entry VM reaches the log. */
	view(isLogDown: () => boolean): ClaimService {
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

		await this.clock.sleep(claimMs);
		const held = this.#entries.get(keyHash);
		if (held) {
			return this.#waitFor(held, deadlineMs);
		}

		const claim: Claim = {keyHash, claimId: String(this.#next++)};
		this.#entries.set(keyHash, {claimId: claim.claimId, outcome: undefined, waiters: new Set()});
		return {type: 'won', claim};
	}

	#settle(claim: Claim, outcome: ClaimOutcome): void {
		const entry = this.#entries.get(claim.keyHash);
		if (entry?.claimId === claim.claimId) {
			entry.outcome = outcome;
			wake(entry);
		}
	}

	#release(claim: Claim): void {
		const entry = this.#entries.get(claim.keyHash);
		if (entry?.claimId === claim.claimId) {
			this.#entries.delete(claim.keyHash);
			wake(entry);
		}
	}

	async #waitFor(entry: Entry, deadlineMs: Ms): Promise<ClaimDecision> {
		if (!entry.outcome) {
			const woken = new AbortController();
			const onWake = () => {
				woken.abort();
			};

			entry.waiters.add(onWake);
			await this.clock.sleep(Math.max(0, deadlineMs - this.clock.now()), woken.signal);
			entry.waiters.delete(onWake);
		}

		return entry.outcome?.type === 'done'
			? {type: 'done', answer: entry.outcome.answer}
			: {type: 'unknown', reason: 'earlier_attempt_unknown'};
	}
}

function wake(entry: Entry): void {
	for (const waiter of entry.waiters) {
		waiter();
	}
}
