import type {ZoneDigest} from '../teams/index.js';
import type {WireDigest} from './link-message.js';

/** The table of names starts over beyond this many, since names of ended work stay in it. */
const maxNames = 8192;

/**
 * One encoded digest. A delta is only for peers that have received the digest before; `unchanged` needs no content
 * at all, `undefined` means that only the whole digest will do.
 */
export interface EncodedDigest {
	readonly full: WireDigest;
	readonly delta: WireDigest | 'unchanged' | undefined;
}

/**
 * Encodes successive digests whole and as deltas. Work is rounded to two significant digits, which is enough for
 * shares and keeps small changes off the wire.
 *
 * @internal
 */
export class DigestEncoder {
	static create(): DigestEncoder {
		return new DigestEncoder();
	}

	#names = new Map<string, number>();
	#previous: Snapshot | undefined;
	/** Counts the digests of this encoder without gaps, as an unchanged digest does not name its sequence. */
	#sequence = 0;

	private constructor() {}

	/** Encodes the next digest; its sequence on the wire is the encoder's own. */
	next(digest: Omit<ZoneDigest, 'sequence'>): EncodedDigest {
		this.#sequence++;
		if (this.#names.size > maxNames) {
			this.#names = new Map();
			this.#previous = undefined;
		}

		const firstNew = this.#names.size;
		const snapshot = this.#snapshot(digest);
		const names = [...this.#names.keys()];
		const full: WireDigest = {
			s: this.#sequence, n: names, w: [...snapshot.work.values()], f: [...snapshot.inFlight.values()], d: snapshot.draining, o: snapshot.offset,
		};
		const delta = this.#previous && deltaOf(this.#previous, snapshot, names.slice(firstNew));
		this.#previous = snapshot;
		return {full, delta};
	}

	#snapshot(digest: Omit<ZoneDigest, 'sequence'>): Snapshot {
		const work: Snapshot['work'] = new Map();
		for (const row of digest.work) {
			const ids = [this.#id(row.team), this.#id(row.pool)] as const;
			work.set(ids.join(' '), [...ids, round(row.inFlightMs), round(row.queuedMs)]);
		}

		const inFlight: Snapshot['inFlight'] = new Map();
		for (const row of digest.inFlight) {
			const id = this.#id(row.target);
			inFlight.set(String(id), [id, row.calls]);
		}

		return {
			sequence: this.#sequence, work, inFlight, draining: digest.draining.map(row => [this.#id(row.target), this.#id(row.startId)]), offset: digest.configOffset,
		};
	}

	#id(name: string): number {
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

function deltaOf(before: Snapshot, after: Snapshot, names: string[]): WireDigest | 'unchanged' {
	const work = changes<WorkRow>(before.work, after.work, ([team, pool]) => [team, pool, 0, 0]);
	const inFlight = changes<CallsRow>(before.inFlight, after.inFlight, ([target]) => [target, 0]);
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

function changes<Row extends number[]>(before: Map<string, Row>, after: Map<string, Row>, removed: (row: Row) => Row): Row[] {
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

/** Rounds to two significant digits, at least 1 for any work, since zeros remove the row. */
function round(ms: number): number {
	return ms <= 0 ? 0 : Math.max(1, Math.round(Number(ms.toPrecision(2))));
}
