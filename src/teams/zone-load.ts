import type {Clock, Ms} from '../clock/index.js';
import type {ZoneDigest, ZoneView} from './zone-view.js';

/** Digests arrive once a second; looking more often than this costs time and tells little. */
const refreshMs: Ms = 200;

/** Work of a team in a pool at the other entry VMs. */
export interface OthersWork {
	inFlightMs: Ms;
	queuedMs: Ms;
}

/**
 * Sums of the other entry VMs' digests by pool and team and by target. Only digests that changed are read again.
 *
 * @example
 * const load = ZoneLoad.create({clock, zoneView});
 * load.refresh();
 * load.calls('engine-1');
 */
export class ZoneLoad {
	static create(options: {clock: Clock; zoneView: ZoneView}): ZoneLoad {
		return new ZoneLoad(options.clock, options.zoneView);
	}

	/** Changes with each change of the sums. */
	version = 0;
	readonly #known = new Map<string, ZoneDigest>();
	readonly #work = new Map<string, Map<string, OthersWork>>();
	readonly #calls = new Map<string, number>();
	/** Number of other entry VMs with work in a pool. */
	readonly #contenders = new Map<string, number>();
	#refreshedAt: Ms = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock, private readonly zoneView: ZoneView) {}

	/** Reads the digests that changed since the last call. */
	refresh(): void {
		const now = this.clock.now();
		if (now - this.#refreshedAt < refreshMs) {
			return;
		}

		this.#refreshedAt = now;
		const present = new Map(this.zoneView.others().map(digest => [`${digest.process}/${digest.incarnation}`, digest]));
		for (const [key, old] of this.#known) {
			if (present.get(key) !== old) {
				this.#add(old, -1);
				this.#known.delete(key);
				this.version++;
			}
		}

		for (const [key, digest] of present) {
			if (!this.#known.has(key)) {
				this.#add(digest, 1);
				this.#known.set(key, digest);
				this.version++;
			}
		}
	}

	/** Number of other entry VMs. */
	get peers(): number {
		return this.#known.size;
	}

	/** Number of other entry VMs that have work in a pool. */
	contenders(pool: string): number {
		return this.#contenders.get(pool) ?? 0;
	}

	/** Calls of the other entry VMs at a target. */
	calls(target: string): number {
		return this.#calls.get(target) ?? 0;
	}

	/** Work of the other entry VMs in a pool, by team. */
	work(pool: string): ReadonlyMap<string, OthersWork> {
		return this.#work.get(pool) ?? new Map<string, OthersWork>();
	}

	#add(digest: ZoneDigest, sign: 1 | -1): void {
		for (const {team, pool, inFlightMs, queuedMs} of digest.work) {
			const teams = this.#work.get(pool) ?? new Map<string, OthersWork>();
			this.#work.set(pool, teams);
			const sum = teams.get(team) ?? {inFlightMs: 0, queuedMs: 0};
			sum.inFlightMs += sign * inFlightMs;
			sum.queuedMs += sign * queuedMs;
			// The sums hold rounding errors, so a team without work is near zero, not at it.
			if (sum.inFlightMs + sum.queuedMs < 0.001) {
				teams.delete(team);
			} else {
				teams.set(team, sum);
			}
		}

		for (const pool of new Set(digest.work.map(work => work.pool))) {
			this.#contenders.set(pool, this.contenders(pool) + sign);
		}

		for (const {target, calls} of digest.inFlight) {
			this.#calls.set(target, (this.#calls.get(target) ?? 0) + (sign * calls));
		}
	}
}
