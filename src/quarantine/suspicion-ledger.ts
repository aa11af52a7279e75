import type {Ms} from '../clock/index.js';
import {LatestAnswers} from './latest-answers.js';
import {isRequestId} from './request-id.js';
import {clockToleranceMs, combineSuspicions, maxCrashes} from './combine-suspicions.js';
import {findUnexplained} from './explain-crashes.js';
import {
	isAgainstRequest, partsKey, weightOf, type Suspicion,
} from './suspicion.js';

/** Weight of evidence from which a set of parts is quarantined: two crashes at the start of a response. */
const quarantineWeight = 2;
/** Weight of what is left of a quarantine in the end: with one crash of the least weight it is enough again. */
const renewableWeight = 1.5;
/** A part of a request that was answered is cleared of crashes up to this long after the answer; without such a limit, a part that turns deadly would never be suspected. */
const clearanceMs: Ms = 3000;
/** Time after which a quarantine becomes a suspicion again, so that one further crash renews it; also the time for which a suspicion is kept. */
export const suspicionLifetimeMs: Ms = 3_600_000;
/** Maximum numbers of suspicions against prompt parts alone and against requests, so that many deadly requests do not displace a deadly part. */
const maxPartSuspicions = 200;
const maxRequestSuspicions = 400;
/** Maximum shares of them that are kept before newer ones: the quarantined ones, and these with those that rest on several crashes. The rest leaves room for new evidence. */
const quarantinedShare = 0.75;
const repeatedShare = 0.875;
/** Maximum numbers of prompt parts and requests whose latest answers are remembered. */
const maxAnsweredParts = 5000;
const maxAnsweredRequests = 1000;

/** What a change of the ledger led to. */
export interface LedgerChange {
	/** New evidence without the parts that it does not concern; `undefined` if the ledger held it before. */
	readonly added: Suspicion | undefined;
	/** Parts that were under suspicion and have been answered, with the times of the answers. */
	readonly cleared: ReadonlyMap<string, Ms>;
	/** Sets of parts that are quarantined by this change. */
	readonly quarantined: readonly Suspicion[];
	/** Sets of parts that were quarantined until this change, which explains their crashes. */
	readonly explained: readonly Suspicion[];
	/** Answers to the other parts of a set that was added as quarantined, but is not quarantined here: its source may lack them. */
	readonly contradicting: ReadonlyMap<string, Ms>;
}

/**
 * Finds prompt parts and requests that crash targets. A set of parts that several crashes have in common is quarantined
 * unless a request with one of the parts is answered: that part is then cleared and the others remain. The id of a
 * request is one more part, which only its repeats have. Only crashes one after the other count, the later request sent
 * after the earlier crash, since targets that are lost together prove nothing.
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
	/** Those of them that are quarantined. */
	readonly #quarantined = new Map<string, Suspicion>();
	/** Keys of the suspicions that name a part. */
	readonly #keysByPart = new Map<string, Set<string>>();
	readonly #partAnswers = LatestAnswers.create(maxAnsweredParts);
	readonly #requestAnswers = LatestAnswers.create(maxAnsweredRequests);

	private constructor() {}

	/** Number of suspicions, quarantined or not. */
	get size(): number {
		return this.#suspicions.size;
	}

	/** Returns all suspicions, quarantined or not. */
	all(): readonly Suspicion[] {
		return [...this.#suspicions.values()];
	}

	/** Returns the quarantined sets of parts. */
	quarantined(): readonly Suspicion[] {
		return [...this.#quarantined.values()];
	}

	/** Returns a quarantined set that a request with these parts has all parts of, so that it is to be rejected. */
	findQuarantined(parts: readonly string[]): Suspicion | undefined {
		const present = new Set(parts);
		for (const part of this.#suspicions.size === 0 ? [] : present) {
			for (const key of this.#keysByPart.get(part) ?? []) {
				const suspicion = this.#suspicions.get(key)!;
				if (suspicion.quarantinedMs !== undefined && suspicion.parts[0] === part && suspicion.parts.every(other => present.has(other))) {
					return suspicion;
				}
			}
		}

		return undefined;
	}

	/** Whether a request with these parts is to be rejected: it has all parts of a quarantined set. */
	isQuarantined(parts: readonly string[]): boolean {
		return this.findQuarantined(parts) !== undefined;
	}

	/** Whether there is a suspicion against one of these parts, or against the very request that has them. */
	isSuspected(parts: readonly string[]): boolean {
		return parts.some(part => this.#keysByPart.has(part));
	}

	/** Adds evidence of this or of another entry VM. */
	add(suspicion: Suspicion, now: Ms): LedgerChange {
		const cleared = new Map<string, Ms>();
		for (const part of suspicion.parts) {
			const answeredMs = this.#answersTo(part).get(part);
			if (answeredMs !== undefined && isCleared(suspicion, answeredMs)) {
				cleared.set(part, answeredMs);
			}
		}

		const parts = suspicion.parts.filter(part => !cleared.has(part));
		if (parts.length === 0) {
			return unchanged(cleared);
		}

		const added = {...suspicion, parts};
		const combined = this.#suspicionsWith(parts).flatMap(other => combineSuspicions(other, added) ?? []);
		const stored = [added, ...combined].flatMap(candidate => this.#put(candidate, now) ?? []);
		const explained = stored.some(({current}) => current.quarantinedMs !== undefined) ? this.#releaseExplained() : [];
		this.#dropExcess();
		return {
			added: stored.length > 0 ? added : undefined,
			cleared,
			quarantined: stored.flatMap(({current, isQuarantinedNow}) => isQuarantinedNow && !explained.includes(current) ? [current] : []),
			explained,
			contradicting: this.answersTo(suspicion.quarantinedMs === undefined || this.isQuarantined(parts) ? [] : parts),
		};
	}

	/** Records that requests with these parts were answered at `answeredMs`. Returns the parts that this clears. */
	answered(parts: readonly string[], answeredMs: Ms): LedgerChange {
		const cleared = new Map<string, Ms>();
		const isNews = parts.some(part => this.#keysByPart.has(part) && this.#answersTo(part).get(part) === undefined);
		for (const part of parts) {
			this.#answersTo(part).record(part, answeredMs);
		}

		const answered = new Set(parts);
		for (const suspicion of this.#suspicionsWith(parts)) {
			if (!isCleared(suspicion, answeredMs)) {
				continue;
			}

			this.#delete(suspicion);
			for (const part of suspicion.parts) {
				if (answered.has(part)) {
					cleared.set(part, answeredMs);
				}
			}

			const remaining = suspicion.parts.filter(part => !answered.has(part));
			if (remaining.length > 0) {
				// Without the id of the request, the evidence may no longer be sufficient.
				const isSufficient = weightOf({parts: remaining, crashes: suspicion.crashes}) >= quarantineWeight;
				this.#put({...suspicion, parts: remaining, quarantinedMs: isSufficient ? suspicion.quarantinedMs : undefined}, answeredMs);
			}
		}

		return {...unchanged(cleared), explained: isNews ? this.#releaseExplained() : []};
	}

	/** Returns the times of the latest answers to requests with these parts, as far as there were any. */
	answersTo(parts: readonly string[]): ReadonlyMap<string, Ms> {
		return new Map(parts.flatMap(part => {
			const answeredMs = this.#answersTo(part).get(part);
			return answeredMs === undefined ? [] : [[part, answeredMs]];
		}));
	}

	/** Removes a set of parts, which another entry VM has found to be sound. */
	remove(parts: readonly string[]): void {
		this.#delete({parts});
	}

	/** Turns old quarantines into suspicions and drops old suspicions. */
	expire(now: Ms): void {
		for (const suspicion of this.all()) {
			const {quarantinedMs, crashedMs, crashes} = suspicion;
			if (quarantinedMs !== undefined && now - quarantinedMs >= suspicionLifetimeMs) {
				const [latestCrash] = [...crashes.keys()].slice(-1);
				this.#set({
					...suspicion, crashes: new Map([[latestCrash!, renewableWeight]]), spans: undefined, crashedMs: now, quarantinedMs: undefined,
				});
			} else if (quarantinedMs === undefined && now - crashedMs >= suspicionLifetimeMs) {
				this.#delete(suspicion);
			}
		}
	}

	/** Stores what is not explained of a suspicion, unless the same parts are known with as much evidence. */
	#put(candidate: Suspicion, now: Ms): {current: Suspicion; isQuarantinedNow: boolean} | undefined {
		const suspicion = this.#unexplainedOf(candidate);
		const existing = this.#suspicions.get(partsKey(suspicion.parts));
		const isQuarantined = suspicion.quarantinedMs !== undefined || weightOf(suspicion) >= quarantineWeight;
		if (existing?.quarantinedMs !== undefined && hasOtherCrashes(candidate, existing)) {
			// They count for the explanation of crashes, also those that others explain, since they take the place of earlier ones.
			const current = {...candidate, quarantinedMs: existing.quarantinedMs};
			this.#set(current);
			return {current, isQuarantinedNow: false};
		}

		if (suspicion.crashes.size === 0 || (existing && (existing.quarantinedMs !== undefined || (!isQuarantined && weightOf(existing) >= weightOf(suspicion))))) {
			return undefined;
		}

		const current = {...suspicion, quarantinedMs: isQuarantined ? suspicion.quarantinedMs ?? now : undefined};
		this.#set(current);
		return {current, isQuarantinedNow: isQuarantined};
	}

	/**
	 * Returns the evidence that the quarantined sets do not explain; it counts as quarantined only as far as it suffices.
	 * Only parts that were answered once, however long ago, are released, and only sets with parts that never were explain
	 * the crashes of others: a deadly part is not answered.
	 */
	#unexplainedOf(suspicion: Suspicion): Suspicion {
		const isNew = (part: string) => this.#answersTo(part).get(part) === undefined;
		if (this.#quarantined.size === 0 || suspicion.parts.some(part => isNew(part))) {
			return suspicion;
		}

		const unexplained = findUnexplained(suspicion, this.quarantined().filter(cause => cause.parts.some(part => isNew(part))));
		return unexplained === suspicion || weightOf(unexplained) >= quarantineWeight ? unexplained : {...unexplained, quarantinedMs: undefined};
	}

	/** Ends the quarantines that the others explain, and returns them. */
	#releaseExplained(): readonly Suspicion[] {
		const released: Suspicion[] = [];
		for (const suspicion of this.quarantined()) {
			const unexplained = this.#unexplainedOf(suspicion);
			if (unexplained.quarantinedMs === undefined) {
				released.push(suspicion);
				this.#delete(suspicion);
				this.#put(unexplained, suspicion.quarantinedMs!);
			}
		}

		return released;
	}

	#dropExcess(): void {
		// Neither maximum can be exceeded below the smaller of them.
		if (this.#suspicions.size <= Math.min(maxPartSuspicions, maxRequestSuspicions)) {
			return;
		}

		const all = this.all();
		const requests = all.filter(suspicion => isAgainstRequest(suspicion));
		const parts = all.filter(suspicion => !isAgainstRequest(suspicion));
		for (const suspicion of [...findExcess(requests, maxRequestSuspicions), ...findExcess(parts, maxPartSuspicions)]) {
			this.#delete(suspicion);
		}
	}

	#answersTo(part: string): LatestAnswers {
		return isRequestId(part) ? this.#requestAnswers : this.#partAnswers;
	}

	/** Returns the suspicions that name one of the parts. */
	#suspicionsWith(parts: readonly string[]): readonly Suspicion[] {
		const keys = new Set(parts.flatMap(part => [...this.#keysByPart.get(part) ?? []]));
		return [...keys].map(key => this.#suspicions.get(key)!);
	}

	#set(suspicion: Suspicion): void {
		const key = partsKey(suspicion.parts);
		this.#suspicions.set(key, suspicion);
		if (suspicion.quarantinedMs === undefined) {
			this.#quarantined.delete(key);
		} else {
			this.#quarantined.set(key, suspicion);
		}

		for (const part of suspicion.parts) {
			const keys = this.#keysByPart.get(part) ?? new Set();
			this.#keysByPart.set(part, keys.add(key));
		}
	}

	#delete({parts}: Pick<Suspicion, 'parts'>): void {
		const key = partsKey(parts);
		this.#suspicions.delete(key);
		this.#quarantined.delete(key);
		for (const part of parts) {
			const keys = this.#keysByPart.get(part);
			keys?.delete(key);
			if (keys?.size === 0) {
				this.#keysByPart.delete(part);
			}
		}
	}
}

/** Returns the suspicions to drop so that at most `max` are left, with the latest ones of each kind. */
function findExcess(suspicions: readonly Suspicion[], max: number): readonly Suspicion[] {
	if (suspicions.length <= max) {
		return [];
	}

	const latestFirst = suspicions.toSorted((a, b) => b.crashedMs - a.crashedMs);
	const kept = new Set(latestFirst.filter(({quarantinedMs}) => quarantinedMs !== undefined).slice(0, max * quarantinedShare));
	for (const [candidates, limit] of [[latestFirst.filter(({crashes}) => crashes.size > 1), max * repeatedShare], [latestFirst, max]] as const) {
		for (const suspicion of candidates) {
			if (kept.size < limit) {
				kept.add(suspicion);
			}
		}
	}

	return suspicions.filter(suspicion => !kept.has(suspicion));
}

function unchanged(cleared: ReadonlyMap<string, Ms>): LedgerChange {
	return {
		added: undefined, cleared, quarantined: [], explained: [], contradicting: new Map(),
	};
}

/**
 * Whether a suspicion against the parts of a quarantined set names crashes that the set lacks. The crashes of a peer have no
 * times of their own, so that they replace as many known ones only if they are later.
 */
function hasOtherCrashes(suspicion: Suspicion, quarantined: Suspicion): boolean {
	if (suspicion.crashes.size !== quarantined.crashes.size || suspicion.crashes.size < maxCrashes) {
		return suspicion.crashes.size > quarantined.crashes.size;
	}

	const isLater = suspicion.spans !== undefined || suspicion.crashedMs > quarantined.crashedMs + clockToleranceMs;
	return isLater && [...suspicion.crashes.keys()].some(crash => !quarantined.crashes.has(crash));
}

function isCleared({crashedMs}: Suspicion, answeredMs: Ms): boolean {
	return answeredMs >= crashedMs - clearanceMs;
}
