import type {ZoneDigest} from '../teams/index.js';
import {LinkError} from './link-error.js';
import type {LinkIdentity} from './link-identity.js';
import type {WireDigest} from './link-message.js';

/**
 * Decodes the digests that a peer sends on one link. A delta that is not based on the last digest received
 * is rejected with `LinkError`, which closes the link.
 *
 * @internal
 */
export class DigestDecoder {
	static create(peer: Pick<LinkIdentity, 'name' | 'incarnation'>): DigestDecoder {
		return new DigestDecoder(peer);
	}

	readonly #names: string[] = [];
	readonly #work = new Map<string, readonly number[]>();
	readonly #inFlight = new Map<number, number>();
	#draining: ZoneDigest['draining'] = [];
	#sequence = -1;
	#offset = -1;

	private constructor(private readonly peer: Pick<LinkIdentity, 'name' | 'incarnation'>) {}

	/**
	 * Applies a received digest and returns the resulting state; `undefined` stands for an unchanged digest. Throws
	 * `LinkError` if a delta is not based on the last digest, or if a name index is not in the name table.
	 */
	apply(change: WireDigest | undefined): ZoneDigest {
		const wire = change ?? {s: this.#sequence + 1, b: this.#sequence};
		if (wire.b === undefined) {
			this.#names.length = 0;
			this.#work.clear();
			this.#inFlight.clear();
		} else if (wire.b !== this.#sequence) {
			throw LinkError.create('bad_frame', `Cannot apply a digest: its base is ${wire.b}, expected ${this.#sequence}`);
		}

		this.#names.push(...wire.n ?? []);
		for (const row of wire.w ?? []) {
			const key = `${row[0]} ${row[1]}`;
			if (row[2] === 0 && row[3] === 0) {
				this.#work.delete(key);
			} else {
				this.#work.set(key, row);
			}
		}

		for (const [target, calls] of wire.f ?? []) {
			if (calls === 0) {
				this.#inFlight.delete(target);
			} else {
				this.#inFlight.set(target, calls);
			}
		}

		this.#draining = wire.d?.map(([target, startId]) => ({target: this.#name(target), startId: this.#name(startId)})) ?? this.#draining;
		this.#offset = wire.o ?? this.#offset;
		this.#sequence = wire.s;
		return this.#digest();
	}

	#digest(): ZoneDigest {
		return {
			process: this.peer.name,
			incarnation: this.peer.incarnation,
			sequence: this.#sequence,
			work: [...this.#work.values()].map(([team, pool, inFlightMs, queuedMs]) => ({
				team: this.#name(team!), pool: this.#name(pool!), inFlightMs: inFlightMs!, queuedMs: queuedMs!,
			})),
			inFlight: [...this.#inFlight].map(([target, calls]) => ({target: this.#name(target), calls})),
			draining: this.#draining,
			configOffset: this.#offset,
		};
	}

	#name(index: number): string {
		const name = this.#names[index];
		if (name === undefined) {
			throw LinkError.create('bad_frame', `Cannot apply a digest: name index ${index} is not in the name table`);
		}

		return name;
	}
}
