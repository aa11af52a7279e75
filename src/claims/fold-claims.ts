import type {Ms} from '../clock/index.js';
import type {LogRecord} from '../platform-log/index.js';
import {claimRecordSchema, type ClaimRecord} from './claim-record.js';

/** Claim that holds a key. `answer` is absent when it was too large to store or has been evicted. */
export interface ClaimEntry {
	readonly claimId: string;
	readonly incarnation: string;
	readonly notAfterMs: Ms;
	readonly bodyHash: string;
	readonly state: 'open' | 'done' | 'unknown';
	readonly answer?: string;
}

/**
 * Effect of a record:
 * - `won`: the claim now holds its key;
 * - `lost`: another claim holds the key;
 * - `expired`: the claim was logged after its key's not-after time;
 * - `repeated`: the claim already holds the key;
 * - `released`: the key is free again;
 * - `settled`: the outcome is known;
 * - `ignored`: the record is malformed, was applied before, or ends a claim that does not hold its key or is settled.
 */
export type ClaimVerdict = 'won' | 'lost' | 'expired' | 'repeated' | 'released' | 'settled' | 'ignored';

/** Verdict on a record, and the entry of its key after it; `entry` is `undefined` when the key is free. */
export interface ClaimFoldResult {
	readonly verdict: ClaimVerdict;
	readonly record?: ClaimRecord;
	readonly entry: ClaimEntry | undefined;
}

/** State before a record: the entry of each key, and the latest timestamp of the records so far. */
export interface ClaimFoldState {
	readonly get: (key: string) => ClaimEntry | undefined;
	readonly logTimeMs: Ms;
}

/**
 * Folds one record of the stream `claims` into the state. The function is pure: it returns the new entry of the record's
 * key. All processes that fold the same records in the same order reach the same verdicts.
 *
 * @example
 * const {verdict, entry} = foldClaims({get: key => entries.get(key), logTimeMs}, logRecord);
 */
export function foldClaims(state: ClaimFoldState, logRecord: LogRecord): ClaimFoldResult {
	const parsed = claimRecordSchema.safeParse(logRecord.record);
	if (!parsed.success) {
		return {verdict: 'ignored', entry: undefined};
	}

	const record = parsed.data;
	const holder = state.get(record.key);
	if (record.kind === 'claim') {
		// The log's clock may step back; using the latest timestamp so far prevents a removed key from being won again.
		return foldClaim(record, holder, Math.max(logRecord.atMs, state.logTimeMs));
	}

	const isFromOpenHolder = holder?.state === 'open' && holder.claimId === record.claimId && holder.incarnation === record.incarnation;
	if (!isFromOpenHolder) {
		return {verdict: 'ignored', record, entry: holder};
	}

	if (record.kind === 'release') {
		return {verdict: 'released', record, entry: undefined};
	}

	const {answer: _, ...open} = holder;
	const answer = record.outcome === 'done' && record.answer !== undefined ? {answer: record.answer} : {};
	return {verdict: 'settled', record, entry: {...open, state: record.outcome, ...answer}};
}

function foldClaim(record: Extract<ClaimRecord, {kind: 'claim'}>, holder: ClaimEntry | undefined, atMs: Ms): ClaimFoldResult {
	if (holder) {
		const isSame = holder.claimId === record.claimId && holder.incarnation === record.incarnation;
		return {verdict: isSame ? 'repeated' : 'lost', record, entry: holder};
	}

	if (atMs > record.notAfterMs) {
		return {verdict: 'expired', record, entry: undefined};
	}

	const {claimId, incarnation, notAfterMs, bodyHash} = record;
	return {
		verdict: 'won',
		record,
		entry: {
			claimId, incarnation, notAfterMs, bodyHash, state: 'open',
		},
	};
}
