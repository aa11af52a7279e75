import type {Clock, Ms} from '../clock/index.js';
import type {ZoneDigest, ZoneView} from './zone-view.js';

/** Minimum interval between reads of the digests; they change only once a second. */
const refreshIntervalMs: Ms = 200;

/** Total work of a team in a pool at the other entry VMs of the zone. */
export interface PeerWork {
	inFlightMs: Ms;
	queuedMs: Ms;
}

/**
 * Totals of the digests of the zone's other entry VMs, by pool and team and by target. Totals are updated incrementally
 * from the digests that changed.
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

	/** Changes whenever the totals change. */
	version = 0;
	readonly #digests = new Map<string, ZoneDigest>();
	readonly #workByPool = new Map<string, Map<string, PeerWork>>();
	readonly #callsByTarget = new Map<string, number>();
	/** Number of other entry VMs with work, by pool. */
	readonly #activePeers = new Map<string, number>();
	#refreshedAt: Ms = Number.NEGATIVE_INFINITY;

	private constructor(private readonly clock: Clock, private readonly zoneView: ZoneView) {}

	/** Applies the digests that changed, at most once per refresh interval. */
	refresh(): void {
		const now = this.clock.now();
		if (now - this.#refreshedAt < refreshIntervalMs) {
			return;
		}

		this.#refreshedAt = now;
		const latest = new Map(this.zoneView.peerDigests().map(digest => [`${digest.process}/${digest.incarnation}`, digest]));
		for (const [key, old] of this.#digests) {
			if (latest.get(key) !== old) {
				this.#add(old, -1);
				this.#digests.delete(key);
				this.version++;
			}
		}

		for (const [key, digest] of latest) {
			if (!this.#digests.has(key)) {
				this.#add(digest, 1);
				this.#digests.set(key, digest);
				this.version++;
			}
		}
	}

	/** Number of other entry VMs. */
	get peers(): number {
		return this.#digests.size;
	}

	/** Number of other entry VMs that have work in a pool. */
	activePeers(pool: string): number {
		return this.#activePeers.get(pool) ?? 0;
	}

	/** Number of calls in flight from the other entry VMs at a target. */
	calls(target: string): number {
		return this.#callsByTarget.get(target) ?? 0;
	}

	/** Work of the other entry VMs in a pool, by team. */
	work(pool: string): ReadonlyMap<string, PeerWork> {
		return this.#workByPool.get(pool) ?? new Map<string, PeerWork>();
	}

	#add(digest: ZoneDigest, sign: 1 | -1): void {
		for (const {team, pool, inFlightMs, queuedMs} of digest.work) {
			const teams = this.#workByPool.get(pool) ?? new Map<string, PeerWork>();
			this.#workByPool.set(pool, teams);
			const sum = teams.get(team) ?? {inFlightMs: 0, queuedMs: 0};
			sum.inFlightMs += sign * inFlightMs;
			sum.queuedMs += sign * queuedMs;
			// Rounding errors accumulate in the sums, so the sum of a team without work can differ slightly from zero.
			if (sum.inFlightMs + sum.queuedMs < 0.001) {
				teams.delete(team);
			} else {
				teams.set(team, sum);
			}
		}

		for (const pool of new Set(digest.work.map(work => work.pool))) {
			this.#activePeers.set(pool, this.activePeers(pool) + sign);
		}

		for (const {target, calls} of digest.inFlight) {
			this.#callsByTarget.set(target, (this.#callsByTarget.get(target) ?? 0) + (sign * calls));
		}
	}
}
