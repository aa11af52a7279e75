import type {Ms} from '../clock/index.js';
import type {LogRecord} from '../log/index.js';
import {claimRecordSchema, type ClaimRecord} from './claim-record.js';

/** The claim that holds a key. `answer` is absent when it was too large to keep, or dropped since. */
export interface ClaimEntry {
	readonly claimId: string;
	readonly incarnation: string;
	readonly notAfterMs: Ms;
	readonly bodyHash: string;
	readonly state: 'open' | 'done' | 'unknown';
	readonly answer?: string;
}

/**
 * What folding a record did: `won` the claim holds its key; `lost` another claim holds it; `expired` the claim was
 * logged after its not-after time; `repeated` the claim holds the key already; `released` the key is free again;
 * `settled` the outcome is known; `ignored` nothing changed.
 */
export type ClaimVerdict = 'won' | 'lost' | 'expired' | 'repeated' | 'released' | 'settled' | 'ignored';

/** Verdict on a record and the entry of its key afterwards; `undefined` when the key is free. */
export interface ClaimFold {
	readonly verdict: ClaimVerdict;
	readonly record?: ClaimRecord;
	readonly entry: ClaimEntry | undefined;
}

/** State before a record: the entry of each key, and the latest log time of the records so far. */
export interface ClaimFoldState {
	readonly get: (key: string) => ClaimEntry | undefined;
	readonly logTimeMs: Ms;
}

/**
 * Folds one record of the stream `claims`. Pure: it reads the state and returns the new entry of the record's key.
 * Processes that fold the same records in order reach the same verdicts.
 *
 * @example
 * const {verdict, entry} = foldClaims({get: key => entries.get(key), logTimeMs}, logged);
 */
export function foldClaims(state: ClaimFoldState, logged: LogRecord): ClaimFold {
	const parsed = claimRecordSchema.safeParse(logged.record);
	if (!parsed.success) {
		return {verdict: 'ignored', entry: undefined};
	}

	const record = parsed.data;
	const held = state.get(record.key);
	if (record.kind === 'claim') {
		// The log's clock may step back; the latest time so far keeps a dropped key from winning again.
		return foldClaim(record, held, Math.max(logged.atMs, state.logTimeMs));
	}

	const isOwn = held?.state === 'open' && held.claimId === record.claimId && held.incarnation === record.incarnation;
	if (!isOwn) {
		return {verdict: 'ignored', record, entry: held};
	}

	if (record.kind === 'release') {
		return {verdict: 'released', record, entry: undefined};
	}

	const {answer: _, ...open} = held;
	const answer = record.outcome === 'done' && record.answer !== undefined ? {answer: record.answer} : {};
	return {verdict: 'settled', record, entry: {...open, state: record.outcome, ...answer}};
}

function foldClaim(record: Extract<ClaimRecord, {kind: 'claim'}>, held: ClaimEntry | undefined, atMs: Ms): ClaimFold {
	if (held) {
		const isSame = held.claimId === record.claimId && held.incarnation === record.incarnation;
		return {verdict: isSame ? 'repeated' : 'lost', record, entry: held};
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
