import type {Ms} from '../clock/index.js';
import {partsKey, weightOf, type Suspicion} from './suspicion.js';

/** Weight of evidence from which a set of parts is quarantined: two crashes at the start of a response. */
const quarantineWeight = 2;
/** A part of a request that was answered is cleared of crashes up to this long after the answer; without such a limit, a part that turns deadly would never be suspected. */
const clearanceMs: Ms = 3000;
/** Times of different entry VMs are compared with this tolerance, since messages take time to arrive. */
const clockToleranceMs: Ms = 50;
/** Time after which a quarantine becomes a suspicion again, so that one further crash renews it; also the time for which a suspicion is kept. */
export const suspicionLifetimeMs: Ms = 3_600_000;
/** Maximum number of suspicions; those without sufficient evidence are dropped first. */
const maxSuspicions = 200;
/** Maximum number of parts whose latest answers are remembered. */
const maxAnsweredParts = 5000;
/** Maximum number of crashes that a suspicion names. */
const maxCrashes = 8;

/** What a change of the ledger led to. */
export interface LedgerChange {
	/** New evidence without the parts that it does not concern; `undefined` if the ledger held it before. */
	readonly added: Suspicion | undefined;
	/** Parts that were under suspicion and have been answered, with the times of the answers. */
	readonly cleared: ReadonlyMap<string, Ms>;
	/** Sets of parts that are quarantined by this change. */
	readonly quarantined: readonly Suspicion[];
}

/**
 * Finds prompt parts that crash targets. A set of parts that several crashes have in common is quarantined unless a
 * request with one of the parts is answered: that part is then cleared and the others remain. Only crashes one after
 * the other count, the later request sent after the earlier crash, since targets that are lost together prove nothing.
 *
 * @example
 * ledger.add({parts: ['a', 'b'], crashes: new Map([['engine-1', 1]]), sentMs: 0, crashedMs: 100, quarantinedMs: undefined}, 100);
 * ledger.isQuarantined(['a', 'b', 'c']);
 */
export class SuspicionLedger {
	static create(): SuspicionLedger {
		return new SuspicionLedger();
	}

	readonly #suspicions = new Map<string, Suspicion>();
	/** Time of the latest answer to a request with a part, least recent first. */
	readonly #answeredMs = new Map<string, Ms>();

	private constructor() {}

	/** Returns all suspicions, quarantined or not. */
	all(): readonly Suspicion[] {
		return [...this.#suspicions.values()];
	}

	/** Returns the quarantined sets of parts. */
	quarantined(): readonly Suspicion[] {
		return this.all().filter(({quarantinedMs}) => quarantinedMs !== undefined);
	}

	/** Whether a request with these parts is to be rejected: it has all parts of a quarantined set. */
	isQuarantined(parts: readonly string[]): boolean {
		return this.quarantined().some(suspicion => suspicion.parts.every(part => parts.includes(part)));
	}

	/** Adds evidence of this or of another entry VM. */
	add(suspicion: Suspicion, now: Ms): LedgerChange {
		const cleared = new Map<string, Ms>();
		for (const part of suspicion.parts) {
			const answeredMs = this.#answeredMs.get(part);
			if (answeredMs !== undefined && isCleared(suspicion, answeredMs)) {
				cleared.set(part, answeredMs);
			}
		}

		const parts = suspicion.parts.filter(part => !cleared.has(part));
		if (parts.length === 0) {
			return {added: undefined, cleared, quarantined: []};
		}

		const added = {...suspicion, parts};
		const combined = this.all().flatMap(other => combine(other, added) ?? []);
		const stored = [added, ...combined].flatMap(candidate => this.#put(candidate, now) ?? []);
		this.#dropExcess();
		return {added: stored.length > 0 ? added : undefined, cleared, quarantined: stored.flatMap(({current, isQuarantinedNow}) => isQuarantinedNow ? [current] : [])};
	}

	/** Records that requests with these parts were answered at `answeredMs`. Returns the parts that this clears. */
	answered(parts: readonly string[], answeredMs: Ms): LedgerChange {
		const cleared = new Map<string, Ms>();
		for (const part of parts) {
			const latestMs = Math.max(answeredMs, this.#answeredMs.get(part) ?? -Infinity);
			this.#answeredMs.delete(part);
			this.#answeredMs.set(part, latestMs);
		}

		while (this.#answeredMs.size > maxAnsweredParts) {
			this.#answeredMs.delete(this.#answeredMs.keys().next().value!);
		}

		for (const [key, suspicion] of this.#suspicions) {
			const answeredParts = isCleared(suspicion, answeredMs) ? suspicion.parts.filter(part => parts.includes(part)) : [];
			if (answeredParts.length === 0) {
				continue;
			}

			this.#suspicions.delete(key);
			for (const part of answeredParts) {
				cleared.set(part, answeredMs);
			}

			const remaining = suspicion.parts.filter(part => !parts.includes(part));
			if (remaining.length > 0) {
				this.#put({...suspicion, parts: remaining}, answeredMs);
			}
		}

		return {added: undefined, cleared, quarantined: []};
	}

	/** Removes a set of parts, which another entry VM has found to be sound. */
	remove(parts: readonly string[]): void {
		this.#suspicions.delete(partsKey(parts));
	}

	/** Turns old quarantines into suspicions and drops old suspicions. */
	expire(now: Ms): void {
		for (const [key, suspicion] of this.#suspicions) {
			const {quarantinedMs, crashedMs, crashes} = suspicion;
			if (quarantinedMs !== undefined && now - quarantinedMs >= suspicionLifetimeMs) {
				const [latestCrash] = [...crashes.keys()].slice(-1);
				this.#suspicions.set(key, {
					...suspicion, crashes: new Map([[latestCrash!, 1]]), crashedMs: now, quarantinedMs: undefined,
				});
			} else if (quarantinedMs === undefined && now - crashedMs >= suspicionLifetimeMs) {
				this.#suspicions.delete(key);
			}
		}
	}

	/** Stores a suspicion unless the same parts are known with as much evidence. */
	#put(suspicion: Suspicion, now: Ms): {current: Suspicion; isQuarantinedNow: boolean} | undefined {
		const key = partsKey(suspicion.parts);
		const existing = this.#suspicions.get(key);
		const isQuarantined = suspicion.quarantinedMs !== undefined || weightOf(suspicion) >= quarantineWeight;
		if (existing && (existing.quarantinedMs !== undefined || (!isQuarantined && weightOf(existing) >= weightOf(suspicion)))) {
			return undefined;
		}

		const current = {...suspicion, quarantinedMs: isQuarantined ? suspicion.quarantinedMs ?? now : undefined};
		this.#suspicions.set(key, current);
		return {current, isQuarantinedNow: isQuarantined};
	}

	#dropExcess(): void {
		const excess = this.#suspicions.size - maxSuspicions;
		if (excess > 0) {
			const byAge = [...this.#suspicions].toSorted(([, a], [, b]) => Number(a.quarantinedMs !== undefined) - Number(b.quarantinedMs !== undefined) || a.crashedMs - b.crashedMs);
			for (const [key] of byAge.slice(0, excess)) {
				this.#suspicions.delete(key);
			}
		}
	}
}

function isCleared({crashedMs}: Suspicion, answeredMs: Ms): boolean {
	return answeredMs >= crashedMs - clearanceMs;
}

/** Returns the evidence against the common parts of two suspicions; `undefined` if they have none, or do not rest on crashes one after the other. */
function combine(a: Suspicion, b: Suspicion): Suspicion | undefined {
	const parts = a.parts.filter(part => b.parts.includes(part));
	const areSuccessive = b.sentMs >= a.crashedMs - clockToleranceMs || a.sentMs >= b.crashedMs - clockToleranceMs;
	if (parts.length === 0 || !areSuccessive || [...b.crashes.keys()].some(crash => a.crashes.has(crash))) {
		return undefined;
	}

	return {
		parts,
		crashes: new Map([...a.crashes, ...b.crashes].slice(-maxCrashes)),
		sentMs: Math.min(a.sentMs, b.sentMs),
		crashedMs: Math.max(a.crashedMs, b.crashedMs),
		quarantinedMs: undefined,
	};
}
