import {Buffer} from 'node:buffer';
import {randomUUID} from 'node:crypto';
import type {Clock, Ms} from '../clock/index.js';
import type {
	IdempotencyKey, ClaimOutcome, Claim, ClaimDecision, ClaimService,
} from './claim-service.js';
import {parseMintedKey} from './minted-key.js';

type Entry = {
	claimId: string;
	bodyHash: string;
	notAfterMs: Ms;
	outcome: ClaimOutcome | undefined;
	waiters: Set<() => void>;
};

const maxAnswerBytes = 16 * 1024;
/** Limits how long an entry is held in memory: a caller can forge a key of this form with any not-after time. */
const maxLifeMs: Ms = 900_000;

/**
 * Decides claims on the keys that this incarnation minted. The claims are held in memory instead of the platform's log,
 * because no other process may run requests with these keys.
 *
 * @example
 * const claims = LocalClaimService.create({clock, incarnation});
 */
export class LocalClaimService implements ClaimService {
	static create(options: {clock: Clock; incarnation: string}): LocalClaimService {
		return new LocalClaimService(options.clock, options.incarnation);
	}

	readonly #entries = new Map<string, Entry>();
	/** Latest wall-clock time seen: if the clock steps back, a key whose entry was removed must not run again. */
	#wallMs: Ms = 0;

	private constructor(private readonly clock: Clock, private readonly incarnation: string) {}

	/** Number of keys held. */
	get size(): number {
		return this.#entries.size;
	}

	async acquire(key: IdempotencyKey, deadlineMs: Ms): Promise<ClaimDecision> {
		this.#expire();
		const minted = parseMintedKey(key.key);
		if (minted?.incarnation !== this.incarnation) {
			return {type: 'unknown', reason: 'minter_gone'};
		}

		const id = JSON.stringify([key.team, key.pipeline, key.key]);
		const existing = this.#entries.get(id);
		if (existing) {
			return existing.bodyHash === key.bodyHash ? this.#waitFor(existing, deadlineMs) : {type: 'not_run', reason: 'key_conflict'};
		}

		if (this.#wallMs > minted.notAfterMs) {
			return key.attempt > 1 ? {type: 'unknown', reason: 'earlier_attempt_unknown'} : {type: 'not_run', reason: 'key_expired'};
		}

		if (minted.notAfterMs > this.#wallMs + maxLifeMs) {
			return {type: 'not_run', reason: 'key_too_long_lived'};
		}

		const claim: Claim = {keyHash: id, claimId: randomUUID()};
		this.#entries.set(id, {
			claimId: claim.claimId, bodyHash: key.bodyHash, notAfterMs: minted.notAfterMs, outcome: undefined, waiters: new Set(),
		});
		return {type: 'won', claim};
	}

	settle(claim: Claim, outcome: ClaimOutcome): void {
		const entry = this.#entries.get(claim.keyHash);
		if (entry?.claimId !== claim.claimId) {
			return;
		}

		entry.outcome = outcome.type === 'done' && Buffer.byteLength(outcome.answer ?? '') > maxAnswerBytes ? {type: 'done'} : outcome;
		this.#wake(entry);
	}

	release(claim: Claim): void {
		const entry = this.#entries.get(claim.keyHash);
		if (entry?.claimId === claim.claimId) {
			this.#entries.delete(claim.keyHash);
			this.#wake(entry);
		}
	}

	async #waitFor(entry: Entry, deadlineMs: Ms): Promise<ClaimDecision> {
		if (!entry.outcome) {
			const woken = new AbortController();
			const wake = () => {
				woken.abort();
			};

			entry.waiters.add(wake);
			await this.clock.sleep(Math.max(0, deadlineMs - this.clock.now()), woken.signal);
			entry.waiters.delete(wake);
		}

		return entry.outcome?.type === 'done'
			? {type: 'done', answer: entry.outcome.answer}
			: {type: 'unknown', reason: 'earlier_attempt_unknown'};
	}

	#wake(entry: Entry): void {
		for (const wake of entry.waiters) {
			wake();
		}
	}

	/**
	 * Removes settled entries past their not-after time; without its entry, such a key is still refused as expired. Entries
	 * are in claim order: one behind an unexpired entry stays until that entry expires, for at most `maxLifeMs`.
	 */
	#expire(): void {
		this.#wallMs = Math.max(this.#wallMs, this.clock.wall());
		const now = this.#wallMs;
		for (const [id, entry] of this.#entries) {
			if (entry.notAfterMs >= now) {
				break;
			}

			if (entry.outcome) {
				this.#entries.delete(id);
			}
		}
	}
}
