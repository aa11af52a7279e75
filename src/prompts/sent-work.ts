import type {Ms} from '../clock/index.js';
import {
	noWork, type EngineKey, type WorkRow, type WorkSum,
} from './prompt-work.js';

/** Whose work is sent: that of a member to its leader, that of a cell to other leaders, or that of all others to a member. */
export type WorkRole = 'own' | 'cell' | 'others';

type Change = {readonly tokens: number; readonly share: number};

/**
 * Changes from which a value is sent again: an absolute one, or a share of the value sent before if that is more. What
 * members do not tell of adds up over all of them, so that they tell of single prompts; sums are told to many.
 */
const changes: Readonly<Record<WorkRole, {readonly pending: Change; readonly held: Change}>> = {
	own: {pending: {tokens: 512, share: 0.1}, held: {tokens: 1024, share: 0.1}},
	cell: {pending: {tokens: 1024, share: 0.15}, held: {tokens: 4000, share: 0.1}},
	others: {pending: {tokens: 1024, share: 0.15}, held: {tokens: 8000, share: 0.1}},
};
/** Time after which a value that is not 0 is sent again without a change, so that receivers can drop those of a lost peer. */
const repeatMs: Ms = 1400;
/** Precision of values. */
const unitTokens = 64;
/** Maximum number of rows in a message; the others follow in the next one. */
const maxRows = 300;

type SentRow = WorkSum & {readonly sentMs: Ms};

/**
 * What a peer has been sent of the work at engines, from which follows what it needs to be sent now.
 *
 * @example
 * const rows = sent.changes(work, ({all}) => all, now);
 */
export class SentWork {
	/** `role` tells whose work is sent; values of another role replace all that were sent before. */
	static create(role: WorkRole): SentWork {
		return new SentWork(role);
	}

	readonly #rows = new Map<EngineKey, SentRow>();

	private constructor(readonly role: WorkRole) {}

	/** Whether the peer has values that are not 0. */
	get hasWork(): boolean {
		return this.#rows.size > 0;
	}

	/** Returns the values, which `pick` takes from what is known of an engine, that have changed much since they were sent or have to be repeated, and takes them as sent. */
	changes<Known>(engines: ReadonlyMap<EngineKey, Known>, pick: (known: Known) => WorkSum, now: Ms): WorkRow[] {
		const rows: WorkRow[] = [];
		for (const [engine, known] of engines) {
			this.#addIfDue(rows, engine, pick(known), now);
		}

		for (const engine of this.#rows.keys()) {
			if (!engines.has(engine)) {
				this.#addIfDue(rows, engine, noWork, now);
			}
		}

		return rows;
	}

	#addIfDue(rows: WorkRow[], engine: EngineKey, work: WorkSum, now: Ms): void {
		const [pendingTokens, heldTokens] = [round(work.pendingTokens), round(work.heldTokens)];
		if (rows.length >= maxRows || !isDue({pendingTokens, heldTokens}, this.#rows.get(engine), {now, role: this.role})) {
			return;
		}

		rows.push([engine, pendingTokens, heldTokens]);
		if (pendingTokens > 0 || heldTokens > 0) {
			this.#rows.set(engine, {pendingTokens, heldTokens, sentMs: now});
		} else {
			this.#rows.delete(engine);
		}
	}
}

function isDue(value: WorkSum, sent: SentRow | undefined, {now, role}: {now: Ms; role: WorkRole}): boolean {
	const isZero = value.pendingTokens === 0 && value.heldTokens === 0;
	if (sent && (isZero || now - sent.sentMs >= repeatMs)) {
		return true;
	}

	const {pending, held} = changes[role];
	return hasChanged(value.pendingTokens, sent?.pendingTokens ?? 0, pending) || hasChanged(value.heldTokens, sent?.heldTokens ?? 0, held);
}

function hasChanged(value: number, sent: number, {tokens, share}: Change): boolean {
	return Math.abs(value - sent) >= Math.max(tokens, share * sent);
}

function round(tokens: number): number {
	return Math.max(0, Math.round(tokens / unitTokens)) * unitTokens;
}
