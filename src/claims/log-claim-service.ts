import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logging/index.js';
import type {PlatformLog} from '../platform-log/index.js';
import {BatchWriter} from './batch-writer.js';
import type {
	IdempotencyKey, ClaimOutcome, Claim, ClaimDecision, ClaimService,
} from './claim-service.js';
import type {ClaimRecord} from './claim-record.js';
import type {ClaimStats} from './claim-stats.js';
import {ClaimTable} from './claim-table.js';
import {ClaimsFollower, type FoldedClaimRecord} from './claims-follower.js';
import {decideFreeKey, decideHeldKey, notRunOrUnknown} from './decide-key.js';
import {hashIdempotencyKey} from './hash-idempotency-key.js';
import {RetryingWriter} from './retrying-writer.js';
import {Waiters} from './waiters.js';

/** Options of a log claim service. */
export interface LogClaimServiceOptions {
	readonly clock: Clock;
	readonly log: PlatformLog;
	readonly events: EventRecorder;
	readonly logger: PartLogger;
	readonly incarnation: string;
	/** Maximum time from a claim to its key's not-after time; at most half of the log's retention. */
	readonly maxLifeMs: Ms;
	readonly table?: ClaimTable;
}

/** Result of a claim of this process; `pending` when the deadline passed before it was known. */
type ClaimResult = 'won' | 'lost' | 'expired' | 'untrusted' | 'too_long_lived' | 'refused' | 'pending';

/** A larger answer is not stored; a retry then only learns that the request has run. */
const maxAnswerBytes = 16 * 1024;
const claimIdBytes = 12;

/**
 * Decides claims through the platform's log. A request may be sent only after its claim was read back from the log as
 * the first on its key. Claims are not leases: a claim that is neither released nor settled holds its key until the key
 * expires, even across a restart of its process, and attempts on the key are answered `unknown`.
 *
 * @example
 * const claims = LogClaimService.create({clock, log, events, logger, incarnation, maxLifeMs: 900_000});
 * claims.start();
 */
export class LogClaimService implements ClaimService {
	static create(options: LogClaimServiceOptions): LogClaimService {
		return new LogClaimService(options);
	}

	readonly follower: ClaimsFollower;
	readonly #table: ClaimTable;
	readonly #writer: BatchWriter;
	readonly #retryingWriter: RetryingWriter;
	readonly #waiters: Waiters;
	/** Callbacks of this process's claims that are not yet read back, by claim id. */
	readonly #awaitingReadBack = new Map<string, (result: ClaimResult) => void>();
	/** Outcomes of this process's claims that are not yet read back, by claim id. */
	readonly #ownOutcomes = new Map<string, ClaimOutcome>();
	#won = 0;
	#lost = 0;

	private constructor(private readonly options: LogClaimServiceOptions) {
		const {clock, log, logger} = options;
		this.#table = options.table ?? ClaimTable.create();
		this.#writer = BatchWriter.create({clock, log, stream: 'claims'});
		this.#retryingWriter = RetryingWriter.create({clock, writer: this.#writer});
		this.#waiters = Waiters.create(clock);
		this.follower = ClaimsFollower.create({
			clock, log, logger, table: this.#table, isReadBackPending: () => this.#awaitingReadBack.size > 0,
		});
		this.follower.onFold(folded => {
			this.#onFold(folded);
		});
		this.follower.onState(() => {
			this.#waiters.wakeAll();
		});
	}

	get stats(): ClaimStats {
		return {
			held: this.#table.size, answerBytes: this.#table.answerBytes, appends: this.#writer.appends, won: this.#won, lost: this.#lost, ageMs: this.follower.ageMs,
		};
	}

	start(): void {
		this.follower.start();
	}

	/** Waits up to `timeoutMs` for the outcomes and releases to be appended, then stops. */
	async stop(timeoutMs: Ms = 0): Promise<void> {
		await this.#retryingWriter.drain(timeoutMs);
		this.#retryingWriter.stop();
		this.follower.stop();
	}

	async acquire(key: IdempotencyKey, deadlineMs: Ms): Promise<ClaimDecision> {
		const {clock, incarnation, maxLifeMs} = this.options;
		const keyHash = hashIdempotencyKey(key);
		for (;;) {
			const entry = this.#table.get(keyHash);
			const context = {nowMs: clock.now(), deadlineMs, followerState: this.follower.state};
			const decision = entry
				? decideHeldKey(key, entry, {...context, isOwn: entry.incarnation === incarnation, ownOutcome: this.#ownOutcomes.get(entry.claimId)})
				: decideFreeKey(key, {
					...context, wallMs: clock.wall(), logTimeMs: this.#table.logTimeMs, maxLifeMs,
				});
			if (decision !== 'wait' && decision !== 'claim') {
				return decision;
			}

			if (decision === 'wait') {
				await this.#waiters.wait(keyHash, deadlineMs);
				continue;
			}

			const claim: Claim = {keyHash, claimId: randomBytes(claimIdBytes).toString('base64url')};
			const result = await this.#appendClaim(key, claim, deadlineMs);
			if (result === 'won' && clock.now() >= deadlineMs) {
				// The process may have been paused: a request is not sent past its deadline.
				this.release(claim);
				return notRunOrUnknown(key, 'deadline');
			}

			const final = this.#decisionOn(key, claim, result);
			if (final) {
				return final;
			}
		}
	}

	settle(claim: Claim, outcome: ClaimOutcome): void {
		const isTooLarge = outcome.type === 'done' && Buffer.byteLength(outcome.answer ?? '') > maxAnswerBytes;
		const kept: ClaimOutcome = isTooLarge ? {type: 'done'} : outcome;
		if (!this.#isOpen(claim)) {
			return;
		}

		this.#ownOutcomes.set(claim.claimId, kept);
		this.#waiters.wake(claim.keyHash);
		this.#writeWithRetry(claim, {
			kind: 'outcome', key: claim.keyHash, claimId: claim.claimId, incarnation: this.options.incarnation, outcome: kept.type, ...(kept.type === 'done' && kept.answer !== undefined ? {answer: kept.answer} : {}),
		}, () => {
			this.#ownOutcomes.delete(claim.claimId);
		});
	}

	release(claim: Claim): void {
		this.#writeWithRetry(claim, {
			kind: 'release', key: claim.keyHash, claimId: claim.claimId, incarnation: this.options.incarnation,
		});
	}

	/** Returns the decision that follows from a claim's result; `undefined` when another claim holds or held the key. */
	#decisionOn(key: IdempotencyKey, claim: Claim, result: ClaimResult): ClaimDecision | undefined {
		switch (result) {
			case 'won': {
				this.#won++;
				this.#recordEvent('claim_won', claim, key.team);
				return {type: 'won', claim};
			}

			case 'lost': {
				this.#lost++;
				this.#recordEvent('claim_lost', claim, key.team);
				return undefined;
			}

			case 'expired': {
				this.#lost++;
				this.#recordEvent('claim_lost', claim, key.team);
				return notRunOrUnknown(key, 'key_expired');
			}

			case 'too_long_lived': {
				return {type: 'not_run', reason: 'key_too_long_lived'};
			}

			// The request of this claim is never sent; if the claim appears in the log later, it is released.
			default: {
				return notRunOrUnknown(key, 'log_unavailable');
			}
		}
	}

	/** Appends a claim and waits until it is read back. Once this returns without a win, the claim is never used. */
	async #appendClaim(key: IdempotencyKey, claim: Claim, deadlineMs: Ms): Promise<ClaimResult> {
		const {clock, incarnation} = this.options;
		const record: ClaimRecord = {
			kind: 'claim', key: claim.keyHash, claimId: claim.claimId, incarnation, notAfterMs: key.notAfterMs, bodyHash: key.bodyHash,
		};
		return new Promise(resolve => {
			const finish = (result: ClaimResult) => {
				cancelTimer();
				this.#awaitingReadBack.delete(claim.claimId);
				append.cancel();
				resolve(result);
			};

			const cancelTimer = clock.after(deadlineMs - clock.now(), () => {
				finish('pending');
			});
			this.#awaitingReadBack.set(claim.claimId, finish);
			this.follower.readNow();
			const append = this.#writer.append(record);
			this.#recordEvent('claim_appended', claim, key.team);
			void append.result.then(appended => {
				if (appended === 'refused' && this.#awaitingReadBack.has(claim.claimId)) {
					finish('refused');
				}
			});
		});
	}

	#onFold({verdict, record, logRecord, trusted}: FoldedClaimRecord): void {
		if (!record) {
			return;
		}

		if (record.kind === 'claim' && record.incarnation === this.options.incarnation) {
			this.#onOwnClaim(record, {verdict, atMs: logRecord.atMs, trusted});
		} else if (record.kind === 'outcome' && record.incarnation === this.options.incarnation) {
			this.#ownOutcomes.delete(record.claimId);
			this.#recordEvent('claim_settled', {keyHash: record.key, claimId: record.claimId});
		} else if (verdict === 'released' && record.incarnation === this.options.incarnation) {
			this.#recordEvent('claim_released', {keyHash: record.key, claimId: record.claimId});
		}

		this.#waiters.wake(record.key);
	}

	#onOwnClaim(record: Extract<ClaimRecord, {kind: 'claim'}>, folded: Pick<FoldedClaimRecord, 'verdict' | 'trusted'> & {atMs: Ms}): void {
		const finish = this.#awaitingReadBack.get(record.claimId);
		if (folded.verdict !== 'won') {
			if (folded.verdict === 'lost' || folded.verdict === 'expired') {
				finish?.(folded.verdict);
			}

			return;
		}

		const isTooLongLived = record.notAfterMs - folded.atMs > this.options.maxLifeMs;
		if (finish && folded.trusted && !isTooLongLived) {
			finish('won');
			return;
		}

		// Nothing waits for the claim any more, or it must not be used: releasing it frees its key.
		this.release({keyHash: record.key, claimId: record.claimId});
		finish?.(isTooLongLived ? 'too_long_lived' : 'untrusted');
	}

	/** Appends a release or an outcome, and retries until it is in the log or its claim no longer holds the key. */
	#writeWithRetry(claim: Claim, record: ClaimRecord, onObsolete?: () => void): void {
		this.#retryingWriter.write(record, {isNeeded: () => this.#isOpen(claim), ...(onObsolete ? {onObsolete} : {})});
	}

	#isOpen(claim: Claim): boolean {
		const entry = this.#table.get(claim.keyHash);
		return entry?.state === 'open' && entry.claimId === claim.claimId;
	}

	#recordEvent(kind: 'claim_appended' | 'claim_won' | 'claim_lost' | 'claim_released' | 'claim_settled', claim: Claim, team?: string): void {
		this.options.events.record({kind, detail: `${claim.keyHash} ${claim.claimId}`, ...(team === undefined ? {} : {team})});
	}
}
