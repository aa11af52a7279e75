import type {Ms} from '../clock/index.js';
import type {ShareClass} from '../targets/index.js';
import type {PeerWork} from './zone-load.js';
import type {TeamWork} from './zone-view.js';

/** A team's work in the pool. `publishedWorkMs` is this entry VM's work in its latest digest. */
type TeamState = {
	weight: number; calls: number; inFlightMs: Ms; queuedMs: Ms; publishedWorkMs: Ms; peerInFlightMs: Ms; peerQueuedMs: Ms; isActive: boolean;
};

/** Work up to this amount is treated as zero: sums of fractions accumulate rounding errors. */
const epsilonMs: Ms = 0.001;

/**
 * Shares of teams in one pool across the zone. A team is active while it has work at any entry VM of the zone; the pool is
 * divided among the active teams by weight. An entry VM may use the fraction of a team's share that corresponds to its
 * fraction of the team's work, so that the entry VMs together stay within the share.
 *
 * @example
 * const shares = TeamShares.create('engines', team => weights.get(team) ?? 1);
 * shares.addQueued('engravers', 120);
 * shares.classify('engravers', 64);
 */
export class TeamShares {
	static create(pool: string, weightOf: (team: string) => number): TeamShares {
		return new TeamShares(pool, weightOf);
	}

	readonly #teams = new Map<string, TeamState>();
	#peers = 0;
	#activeWeight = 0;
	#queuedMs: Ms = 0;
	#inFlightMs: Ms = 0;
	#publishedWorkMs: Ms = 0;
	#peerWorkMs: Ms = 0;

	private constructor(private readonly pool: string, private readonly weightOf: (team: string) => number) {}

	/** Queued service time of all teams in the zone. */
	get queuedMs(): Ms {
		return Math.max(0, this.#queuedMs);
	}

	/** Service time in flight of all teams in the zone. */
	get inFlightMs(): Ms {
		return Math.max(0, this.#inFlightMs);
	}

	/** Adds service time to a team's queue at this entry VM; a negative value removes it. */
	addQueued(team: string, ms: Ms): void {
		this.#update(team, state => {
			state.queuedMs += ms;
		});
	}

	/** Records the start of a call from this entry VM with an expected service time of `ms`. */
	callStarted(team: string, ms: Ms): void {
		this.#update(team, state => {
			state.calls++;
			state.inFlightMs += ms;
		});
	}

	/** Records the end of a call from this entry VM; `ms` is the value passed at its start. */
	callEnded(team: string, ms: Ms): void {
		this.#update(team, state => {
			state.calls--;
			state.inFlightMs -= ms;
		});
	}

	/** Replaces the work of the other entry VMs; `peers` is their number, including idle ones. */
	setPeerWork(work: ReadonlyMap<string, PeerWork>, peers: number): void {
		this.#peers = peers;
		for (const team of new Set([...this.#teams.keys(), ...work.keys()])) {
			const peerWork = work.get(team);
			this.#update(team, state => {
				state.peerInFlightMs = peerWork?.inFlightMs ?? 0;
				state.peerQueuedMs = peerWork?.queuedMs ?? 0;
			});
		}
	}

	/** Reads the weights again after a configuration change. */
	updateWeights(): void {
		this.#activeWeight = 0;
		for (const [team, state] of this.#teams) {
			state.weight = this.weightOf(team);
			this.#activeWeight += state.weight;
		}
	}

	/** Share of the pool, in (0, 1], that a team has, or would have if it were active. */
	share(team: string): number {
		const state = this.#teams.get(team);
		const weight = state?.weight ?? this.weightOf(team);
		return weight / (state ? this.#activeWeight : this.#activeWeight + weight);
	}

	/** Number of the pool's slots that this entry VM may use for a team within its share; at least one. */
	allotment(team: string, slots: number): number {
		return Math.max(1, Math.round(slots * this.share(team) * this.#localTeamFraction(team)));
	}

	/**
	 * Fraction of the pool, in (0, 1], that this entry VM may use: its fraction of the work, at least an equal fraction.
	 * `activePeers` is the number of other entry VMs with work in the pool.
	 */
	localFraction(activePeers: number): number {
		return fractionOf(this.#publishedWorkMs, this.#peerWorkMs, 1 / (activePeers + 1));
	}

	/** Share class of a team's next call in a pool with `slots` slots: `within` while its calls are below its allotment. */
	classify(team: string, slots: number): ShareClass {
		return this.calls(team) < this.allotment(team, slots) ? 'within' : 'above';
	}

	/** Number of a team's calls in flight from this entry VM. */
	calls(team: string): number {
		return this.#teams.get(team)?.calls ?? 0;
	}

	/** Queued service time of a team in the zone. */
	teamQueuedMs(team: string): Ms {
		const state = this.#teams.get(team);
		return state ? Math.max(0, state.queuedMs + state.peerQueuedMs) : 0;
	}

	/** Service time in flight of a team in the zone. */
	teamInFlightMs(team: string): Ms {
		const state = this.#teams.get(team);
		return state ? Math.max(0, state.inFlightMs + state.peerInFlightMs) : 0;
	}

	/** Returns this entry VM's work by team for a digest and records it as published. */
	publish(): TeamWork[] {
		const work: TeamWork[] = [];
		this.#publishedWorkMs = 0;
		for (const [team, state] of this.#teams) {
			state.publishedWorkMs = state.inFlightMs + state.queuedMs;
			if (state.publishedWorkMs > epsilonMs) {
				this.#publishedWorkMs += state.publishedWorkMs;
				work.push({
					team, pool: this.pool, inFlightMs: Math.max(0, state.inFlightMs), queuedMs: Math.max(0, state.queuedMs),
				});
			}
		}

		return work;
	}

	/**
	 * Fraction of the team's share that this entry VM may use. It is computed from published work on both sides: while a
	 * burst grows at all entry VMs, current local work would look large next to the older work of the peers. It is never
	 * less than an equal fraction, so that a team that has just become active here need not wait for the next digests.
	 */
	#localTeamFraction(team: string): number {
		const equalFraction = 1 / (this.#peers + 1);
		const state = this.#teams.get(team);
		return state ? fractionOf(state.publishedWorkMs, state.peerInFlightMs + state.peerQueuedMs, equalFraction) : equalFraction;
	}

	#update(team: string, change: (state: TeamState) => void): void {
		const state = this.#teams.get(team) ?? {
			weight: this.weightOf(team), calls: 0, inFlightMs: 0, queuedMs: 0, publishedWorkMs: 0, peerInFlightMs: 0, peerQueuedMs: 0, isActive: false,
		};
		this.#queuedMs -= state.queuedMs + state.peerQueuedMs;
		this.#inFlightMs -= state.inFlightMs + state.peerInFlightMs;
		this.#peerWorkMs -= state.peerInFlightMs + state.peerQueuedMs;
		change(state);
		this.#queuedMs += state.queuedMs + state.peerQueuedMs;
		this.#inFlightMs += state.inFlightMs + state.peerInFlightMs;
		this.#peerWorkMs += state.peerInFlightMs + state.peerQueuedMs;
		const isActive = state.calls > 0 || state.queuedMs + state.peerQueuedMs + state.inFlightMs + state.peerInFlightMs > epsilonMs;
		if (isActive !== state.isActive) {
			this.#activeWeight += isActive ? state.weight : -state.weight;
			state.isActive = isActive;
		}

		if (isActive) {
			this.#teams.set(team, state);
		} else {
			this.#teams.delete(team);
		}

		if (this.#teams.size === 0) {
			// Without teams, the sums contain only rounding errors.
			this.#activeWeight = 0;
			this.#queuedMs = 0;
			this.#inFlightMs = 0;
			this.#peerWorkMs = 0;
		}
	}
}

/** Own fraction of the total work, at least `equalFraction`. */
function fractionOf(ownMs: Ms, peerMs: Ms, equalFraction: number): number {
	const allMs = ownMs + Math.max(0, peerMs);
	return allMs > epsilonMs ? Math.max(equalFraction, ownMs / allMs) : equalFraction;
}
