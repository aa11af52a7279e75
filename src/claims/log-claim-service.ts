import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import type {Clock, Ms} from '../clock/index.js';
import type {EventRecorder} from '../events/index.js';
import type {PartLogger} from '../logs/index.js';
import type {PlatformLog} from '../log/index.js';
import {BatchWriter} from './batch-writer.js';
import type {
	BookingKey, BookingOutcome, Claim, ClaimDecision, ClaimService,
} from './claim-service.js';
import type {ClaimRecord} from './claim-record.js';
import type {ClaimStats} from './claim-stats.js';
import {ClaimTable} from './claim-table.js';
import {ClaimsFollower, type FoldedClaim} from './claims-follower.js';
import {decideFree, decideHeld, notRun} from './decide-key.js';
import {hashBookingKey} from './hash-booking-key.js';
import {OpenWrites} from './open-writes.js';
import {Waiters} from './waiters.js';

/** Parts of a claim service. */
export interface LogClaimServiceParts {
	readonly clock: Clock;
	readonly log: PlatformLog;
	readonly events: EventRecorder;
	readonly logger: PartLogger;
	readonly incarnation: string;
	/** Longest time from a claim to its key's not-after time; at most half of the log's retention. */
	readonly maxLifeMs: Ms;
	readonly table?: ClaimTable;
}

/** What became of an own claim; `pending` when the deadline passed first. */
type ClaimResult = 'won' | 'lost' | 'expired' | 'untrusted' | 'too_long_lived' | 'refused' | 'pending';

/** A larger answer is not kept; a retry is then told that the booking ran. */
const maxAnswerBytes = 16 * 1024;
const claimIdBytes = 12;

/**
 * Claims over the platform's log: a booking may be sent only after its own claim was read back as the first.
 * A claim has no lease; a claim that is neither released nor settled stays `unknown`, also after a restart.
 *
 * @example
 * const claims = LogClaimService.create({clock, log, events, logger, incarnation, maxLifeMs: 900_000});
 * claims.start();
 */
export class LogClaimService implements ClaimService {
	static create(parts: LogClaimServiceParts): LogClaimService {
		return new LogClaimService(parts);
	}

	readonly follower: ClaimsFollower;
	readonly #table: ClaimTable;
	readonly #writer: BatchWriter;
	readonly #writes: OpenWrites;
	readonly #waiters: Waiters;
	/** Own claims whose place in the log is not known yet, by claim id. */
	readonly #pending = new Map<string, (result: ClaimResult) => void>();
	/** Outcomes of own claims that are not read back yet, by claim id. */
	readonly #outcomes = new Map<string, BookingOutcome>();
	#won = 0;
	#lost = 0;

	private constructor(private readonly parts: LogClaimServiceParts) {
		const {clock, log, logger} = parts;
		this.#table = parts.table ?? ClaimTable.create();
		this.#writer = BatchWriter.create({clock, log, stream: 'claims'});
		this.#writes = OpenWrites.create({clock, writer: this.#writer});
		this.#waiters = Waiters.create(clock);
		this.follower = ClaimsFollower.create({
			clock, log, logger, table: this.#table, isUrgent: () => this.#pending.size > 0,
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

	/** Waits up to `boundMs` until the outcomes and releases are in the log, then stops. */
	async stop(boundMs: Ms = 0): Promise<void> {
		await this.#writes.drain(boundMs);
		this.#writes.stop();
		this.follower.stop();
	}

	async acquire(key: BookingKey, deadlineMs: Ms): Promise<ClaimDecision> {
		const {clock, incarnation, maxLifeMs} = this.parts;
		const keyHash = hashBookingKey(key);
		for (;;) {
			const entry = this.#table.get(keyHash);
			const facts = {nowMs: clock.now(), deadlineMs, followerState: this.follower.state};
			const decision = entry
				? decideHeld(key, entry, {...facts, isOwn: entry.incarnation === incarnation, own: this.#outcomes.get(entry.claimId)})
				: decideFree(key, {
					...facts, wallMs: clock.wall(), logTimeMs: this.#table.logTimeMs, maxLifeMs,
				});
			if (decision !== 'wait' && decision !== 'claim') {
				return decision;
			}

			if (decision === 'wait') {
				await this.#waiters.wait(keyHash, deadlineMs);
				continue;
			}

			const claim: Claim = {keyHash, claimId: randomBytes(claimIdBytes).toString('base64url')};
			const result = await this.#claim(key, claim, deadlineMs);
			if (result === 'won' && clock.now() >= deadlineMs) {
				// A process that was paused drops work past its deadline.
				this.release(claim);
				return notRun(key, 'deadline');
			}

			const final = this.#decideClaimed(key, claim, result);
			if (final) {
				return final;
			}
		}
	}

	settle(claim: Claim, outcome: BookingOutcome): void {
		const isTooLarge = outcome.type === 'done' && Buffer.byteLength(outcome.answer ?? '') > maxAnswerBytes;
		const kept: BookingOutcome = isTooLarge ? {type: 'done'} : outcome;
		if (!this.#isOpen(claim)) {
			return;
		}

		this.#outcomes.set(claim.claimId, kept);
		this.#waiters.wake(claim.keyHash);
		this.#writeOpen(claim, {
			kind: 'outcome', key: claim.keyHash, claimId: claim.claimId, incarnation: this.parts.incarnation, outcome: kept.type, ...(kept.type === 'done' && kept.answer !== undefined ? {answer: kept.answer} : {}),
		}, () => {
			this.#outcomes.delete(claim.claimId);
		});
	}

	release(claim: Claim): void {
		this.#writeOpen(claim, {
			kind: 'release', key: claim.keyHash, claimId: claim.claimId, incarnation: this.parts.incarnation,
		});
	}

	/** Decision after an own claim; `undefined` when another claim holds the key, or held it. */
	#decideClaimed(key: BookingKey, claim: Claim, result: ClaimResult): ClaimDecision | undefined {
		switch (result) {
			case 'won': {
				this.#won++;
				this.#record('claim_won', claim, key.team);
				return {type: 'won', claim};
			}

			case 'lost': {
				this.#lost++;
				this.#record('claim_lost', claim, key.team);
				return undefined;
			}

			case 'expired': {
				this.#lost++;
				this.#record('claim_lost', claim, key.team);
				return notRun(key, 'key_expired');
			}

			case 'too_long_lived': {
				return {type: 'not_run', reason: 'key_too_long_lived'};
			}

			// Nothing of this claim is ever sent: if it turns up in the log later, it is released.
			default: {
				return notRun(key, 'log_unavailable');
			}
		}
	}

	/** Appends a claim and waits until it is read back. A claim that is not awaited any more is never sent. */
	async #claim(key: BookingKey, claim: Claim, deadlineMs: Ms): Promise<ClaimResult> {
		const {clock, incarnation} = this.parts;
		const record: ClaimRecord = {
			kind: 'claim', key: claim.keyHash, claimId: claim.claimId, incarnation, notAfterMs: key.notAfterMs, bodyHash: key.bodyHash,
		};
		return new Promise(resolve => {
			const finish = (result: ClaimResult) => {
				cancelTimer();
				this.#pending.delete(claim.claimId);
				append.cancel();
				resolve(result);
			};

			const cancelTimer = clock.after(deadlineMs - clock.now(), () => {
				finish('pending');
			});
			this.#pending.set(claim.claimId, finish);
			this.follower.readNow();
			const append = this.#writer.append(record);
			this.#record('claim_appended', claim, key.team);
			void append.result.then(appended => {
				if (appended === 'refused' && this.#pending.has(claim.claimId)) {
					finish('refused');
				}
			});
		});
	}

	#onFold({verdict, record, logged, trusted}: FoldedClaim): void {
		if (!record) {
			return;
		}

		if (record.kind === 'claim' && record.incarnation === this.parts.incarnation) {
			this.#onOwnClaim(record, {verdict, atMs: logged.atMs, trusted});
		} else if (record.kind === 'outcome' && record.incarnation === this.parts.incarnation) {
			this.#outcomes.delete(record.claimId);
			this.#record('claim_settled', {keyHash: record.key, claimId: record.claimId});
		} else if (verdict === 'released' && record.incarnation === this.parts.incarnation) {
			this.#record('claim_released', {keyHash: record.key, claimId: record.claimId});
		}

		this.#waiters.wake(record.key);
	}

	#onOwnClaim(record: Extract<ClaimRecord, {kind: 'claim'}>, folded: Pick<FoldedClaim, 'verdict' | 'trusted'> & {atMs: Ms}): void {
		const finish = this.#pending.get(record.claimId);
		if (folded.verdict !== 'won') {
			if (folded.verdict === 'lost' || folded.verdict === 'expired') {
				finish?.(folded.verdict);
			}

			return;
		}

		const isTooLongLived = record.notAfterMs - folded.atMs > this.parts.maxLifeMs;
		if (finish && folded.trusted && !isTooLongLived) {
			finish('won');
			return;
		}

		// The claim was given up, or must not be used: its key becomes free again.
		this.release({keyHash: record.key, claimId: record.claimId});
		finish?.(isTooLongLived ? 'too_long_lived' : 'untrusted');
	}

	/** Writes a release or an outcome until it is read back or its key is dropped. */
	#writeOpen(claim: Claim, record: ClaimRecord, onEnd?: () => void): void {
		this.#writes.write(record, {isOpen: () => this.#isOpen(claim), ...(onEnd ? {onEnd} : {})});
	}

	#isOpen(claim: Claim): boolean {
		const entry = this.#table.get(claim.keyHash);
		return entry?.state === 'open' && entry.claimId === claim.claimId;
	}

	#record(kind: 'claim_appended' | 'claim_won' | 'claim_lost' | 'claim_released' | 'claim_settled', claim: Claim, team?: string): void {
		this.parts.events.record({kind, detail: `${claim.keyHash} ${claim.claimId}`, ...(team === undefined ? {} : {team})});
	}
}
