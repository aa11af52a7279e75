import type {ZoneDigest} from '../teams/index.js';
import type {WireDigest} from './link-message.js';

/** Number of names above which the name table is reset, since names that are no longer in use stay in it. */
const maxNames = 8192;

/**
 * An encoded digest. `delta` may be sent only to peers that have received the previous digest. It is `unchanged` if
 * there is no change to send, and `undefined` if only the full digest can be used.
 */
export interface EncodedDigest {
	readonly full: WireDigest;
	readonly delta: WireDigest | 'unchanged' | undefined;
}

/**
 * Encodes successive digests, each in full and as a delta. Work is rounded to two significant digits, which is accurate
 * enough for computing shares and avoids sending small changes.
 *
 * @internal
 */
export class DigestEncoder {
	static create(): DigestEncoder {
		return new DigestEncoder();
	}

	#names = new Map<string, number>();
	#previous: Snapshot | undefined;
	/** Incremented by exactly one per digest, since an unchanged digest is sent without its sequence number. */
	#sequence = 0;

	private constructor() {}

	/** Encodes the next digest. The encoder assigns its sequence number. */
	encode(digest: Omit<ZoneDigest, 'sequence'>): EncodedDigest {
		this.#sequence++;
		if (this.#names.size > maxNames) {
			this.#names = new Map();
			this.#previous = undefined;
		}

		const firstNewIndex = this.#names.size;
		const snapshot = this.#snapshot(digest);
		const names = [...this.#names.keys()];
		const full: WireDigest = {
			s: this.#sequence, n: names, w: [...snapshot.work.values()], f: [...snapshot.inFlight.values()], d: snapshot.draining, o: snapshot.offset,
		};
		const delta = this.#previous && computeDelta(this.#previous, snapshot, names.slice(firstNewIndex));
		this.#previous = snapshot;
		return {full, delta};
	}

	#snapshot(digest: Omit<ZoneDigest, 'sequence'>): Snapshot {
		const work: Snapshot['work'] = new Map();
		for (const row of digest.work) {
			const indexes = [this.#nameIndex(row.team), this.#nameIndex(row.pool)] as const;
			work.set(indexes.join(' '), [...indexes, roundToTwoDigits(row.inFlightMs), roundToTwoDigits(row.queuedMs)]);
		}

		const inFlight: Snapshot['inFlight'] = new Map();
		for (const row of digest.inFlight) {
			const index = this.#nameIndex(row.target);
			inFlight.set(String(index), [index, row.calls]);
		}

		return {
			sequence: this.#sequence, work, inFlight, draining: digest.draining.map(row => [this.#nameIndex(row.target), this.#nameIndex(row.startId)]), offset: digest.configOffset,
		};
	}

	#nameIndex(name: string): number {
		const known = this.#names.get(name);
		if (known !== undefined) {
			return known;
		}

		this.#names.set(name, this.#names.size);
		return this.#names.size - 1;
	}
}

type WorkRow = [number, number, number, number];
type CallsRow = [number, number];
type Snapshot = {sequence: number; work: Map<string, WorkRow>; inFlight: Map<string, CallsRow>; draining: Array<[number, number]>; offset: number};

function computeDelta(before: Snapshot, after: Snapshot, names: string[]): WireDigest | 'unchanged' {
	const work = changedRows<WorkRow>(before.work, after.work, ([team, pool]) => [team, pool, 0, 0]);
	const inFlight = changedRows<CallsRow>(before.inFlight, after.inFlight, ([target]) => [target, 0]);
	const delta: WireDigest = {
		s: after.sequence,
		b: before.sequence,
		...(names.length > 0 ? {n: names} : {}),
		...(work.length > 0 ? {w: work} : {}),
		...(inFlight.length > 0 ? {f: inFlight} : {}),
		...(String(before.draining) === String(after.draining) ? {} : {d: after.draining}),
		...(before.offset === after.offset ? {} : {o: after.offset}),
	};
	return Object.keys(delta).length === 2 ? 'unchanged' : delta;
}

function changedRows<Row extends number[]>(before: Map<string, Row>, after: Map<string, Row>, removed: (row: Row) => Row): Row[] {
	const rows: Row[] = [];
	for (const [key, row] of after) {
		if (String(before.get(key)) !== String(row)) {
			rows.push(row);
		}
	}

	for (const [key, row] of before) {
		if (!after.has(key)) {
			rows.push(removed(row));
		}
	}

	return rows;
}

/** Rounds to two significant digits. A positive value is rounded to at least 1, since zeros would remove the row. */
function roundToTwoDigits(ms: number): number {
	return ms <= 0 ? 0 : Math.max(1, Math.round(Number(ms.toPrecision(2))));
}
