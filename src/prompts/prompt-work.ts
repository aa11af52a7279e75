import type {Ms} from '../clock/index.js';

/** Time for which a reported value counts in full; reporters repeat values that are not 0 more often than that. */
const fullAgeMs: Ms = 2500;
/** Age at which a reported value counts for nothing; it decreases linearly from the age above. */
const maxAgeMs: Ms = 4000;
/** Age of a cached sum at which it is computed again, as reported work decreases with time. */
const sumTtlMs: Ms = 50;
/** Maximum number of engines in the reports of one peer. */
const maxRowsPerSource = 1000;
/** Minimum share of a prompt that counts as pending until its first event, whatever time its prefill should have taken. */
const minPendingShare = 0.1;

/** Identifies one start of an engine. */
export type EngineKey = number;

/** Prompt work at an engine, in tokens. */
export interface WorkSum {
	/** Prompt tokens that are still to be prefilled. */
	readonly pendingTokens: number;
	/** Tokens for which the requests at the engine need memory. */
	readonly heldTokens: number;
}

/** Work at an engine that peers have reported. */
export interface ReportedWork extends WorkSum {
	/** Age of the oldest report that counts; 0 without one. */
	readonly ageMs: Ms;
}

/** Work that a peer reports: engine, pending tokens and held tokens. */
export type WorkRow = [engine: EngineKey, pendingTokens: number, heldTokens: number];

/** A prompt that is sent to an engine. */
export interface SentPrompt extends WorkSum {
	/** Expected time until the prefill begins, and that which it takes. */
	readonly aheadMs: Ms;
	readonly prefillMs: Ms;
}

/** A prompt at an engine, from the time at which it is sent to its end. */
export interface PromptEntry extends SentPrompt {
	readonly engine: EngineKey;
	readonly sentMs: Ms;
	isPrefilled: boolean;
}

/** A peer that reports work, such as its link. */
export type WorkSource = object;

/** Work of an engine without any. */
export const noWork: WorkSum = {pendingTokens: 0, heldTokens: 0};

type ReportedRow = WorkSum & {readonly receivedMs: Ms};
/** Own prompts at an engine: all of them, those that are still to be prefilled, and the sum of what all of them hold. */
type OwnPrompts = {readonly entries: Set<PromptEntry>; readonly pending: Set<PromptEntry>; heldTokens: number};

/**
 * Outstanding prompt work and held tokens by engine: exact for the requests of this entry VM, and as reported for those of
 * others. Reported pending tokens decrease at the rate at which the engine prefills, and all reported values with age.
 *
 * @example
 * const entry = work.start(engine, {pendingTokens: 1800, heldTokens: 2400, aheadMs: 0, prefillMs: 45}, now);
 * work.end(entry);
 */
export class PromptWork {
	static create(): PromptWork {
		return new PromptWork();
	}

	readonly #own = new Map<EngineKey, OwnPrompts>();
	readonly #reports = new Map<WorkSource, Map<EngineKey, ReportedRow>>();
	readonly #sums = new Map<EngineKey, {readonly sum: ReportedWork; readonly atMs: Ms}>();

	private constructor() {}

	/** Records that a prompt is sent. */
	start(engine: EngineKey, prompt: SentPrompt, now: Ms): PromptEntry {
		const entry: PromptEntry = {
			...prompt, engine, sentMs: now, isPrefilled: false,
		};
		const own = this.#own.get(engine) ?? {entries: new Set(), pending: new Set(), heldTokens: 0};
		this.#own.set(engine, own);
		own.entries.add(entry);
		own.pending.add(entry);
		own.heldTokens += entry.heldTokens;
		return entry;
	}

	/** Records the first event of a prompt, which has been prefilled by then. */
	recordFirstEvent(entry: PromptEntry): void {
		entry.isPrefilled = true;
		this.#own.get(entry.engine)?.pending.delete(entry);
	}

	/** Records the end of a prompt. */
	end(entry: PromptEntry): void {
		const own = this.#own.get(entry.engine);
		if (!own?.entries.delete(entry)) {
			return;
		}

		own.pending.delete(entry);
		own.heldTokens -= entry.heldTokens;
		if (own.entries.size === 0) {
			this.#own.delete(entry.engine);
		}
	}

	/** Returns the work of this entry VM at an engine. */
	own(engine: EngineKey, now: Ms): WorkSum {
		const own = this.#own.get(engine);
		if (!own) {
			return noWork;
		}

		let pendingTokens = 0;
		for (const entry of own.pending) {
			pendingTokens += remainingTokens(entry, now);
		}

		return {pendingTokens, heldTokens: own.heldTokens};
	}

	/** Applies a report of a peer; a full report replaces what the peer has reported before. */
	report(source: WorkSource, {rows, isFull}: {rows: readonly WorkRow[]; isFull: boolean}, now: Ms): void {
		if (isFull) {
			this.drop(source);
		}

		const reported = this.#reports.get(source) ?? new Map<EngineKey, ReportedRow>();
		this.#reports.set(source, reported);
		for (const [engine, pendingTokens, heldTokens] of rows) {
			this.#sums.delete(engine);
			reported.delete(engine);
			if ((pendingTokens > 0 || heldTokens > 0) && reported.size < maxRowsPerSource) {
				reported.set(engine, {pendingTokens, heldTokens, receivedMs: now});
			}
		}
	}

	/** Drops the reports of a peer that is lost. */
	drop(source: WorkSource): void {
		this.#reports.delete(source);
		this.#sums.clear();
	}

	/** Drops all reports but those of one peer. */
	dropOthers(kept: WorkSource): void {
		for (const source of this.#reports.keys()) {
			if (source !== kept) {
				this.drop(source);
			}
		}
	}

	/** Returns the work at an engine that peers have reported; `tokensPerMs` is the rate at which the engine prefills. */
	reported(engine: EngineKey, now: Ms, tokensPerMs: number): ReportedWork {
		const cached = this.#sums.get(engine);
		if (cached && now - cached.atMs < sumTtlMs) {
			return cached.sum;
		}

		let [pendingTokens, heldTokens, ageMs] = [0, 0, 0];
		for (const work of this.reportedBySource(engine, now, tokensPerMs).values()) {
			pendingTokens += work.pendingTokens;
			heldTokens += work.heldTokens;
			ageMs = Math.max(ageMs, work.ageMs);
		}

		if (this.#sums.size >= maxRowsPerSource) {
			this.#sums.clear();
		}

		const sum = {pendingTokens, heldTokens, ageMs};
		this.#sums.set(engine, {sum, atMs: now});
		return sum;
	}

	/** Returns the work at an engine by the peer that has reported it. */
	reportedBySource(engine: EngineKey, now: Ms, tokensPerMs: number): ReadonlyMap<WorkSource, ReportedWork> {
		const bySource = new Map<WorkSource, ReportedWork>();
		const found: Array<[source: WorkSource, row: ReportedRow]> = [];
		let totalTokens = 0;
		for (const [source, rows] of this.#reports) {
			const row = rows.get(engine);
			if (row) {
				found.push([source, row]);
				totalTokens += row.pendingTokens;
			}
		}

		for (const [source, row] of found) {
			const ageMs = now - row.receivedMs;
			if (ageMs >= maxAgeMs) {
				this.#reports.get(source)!.delete(engine);
				continue;
			}

			const weight = Math.min(1, (maxAgeMs - ageMs) / (maxAgeMs - fullAgeMs));
			// An engine prefills one prompt after the other, so that the peers share its rate.
			const leftShare = Math.max(0, 1 - (ageMs * tokensPerMs / Math.max(1, totalTokens)));
			bySource.set(source, {pendingTokens: row.pendingTokens * Math.min(weight, leftShare), heldTokens: row.heldTokens * weight, ageMs});
		}

		return bySource;
	}

	/** Returns the engines at which there is work of this entry VM. */
	ownEngines(): Iterable<EngineKey> {
		return this.#own.keys();
	}

	/** Returns the engines at which there is work, of this entry VM or reported. */
	engines(): ReadonlySet<EngineKey> {
		const engines = new Set(this.#own.keys());
		for (const rows of this.#reports.values()) {
			for (const engine of rows.keys()) {
				engines.add(engine);
			}
		}

		return engines;
	}
}

function remainingTokens({pendingTokens, sentMs, aheadMs, prefillMs}: PromptEntry, now: Ms): number {
	const doneShare = (now - sentMs - aheadMs) / Math.max(1, prefillMs);
	return pendingTokens * Math.max(minPendingShare, Math.min(1, 1 - doneShare));
}
