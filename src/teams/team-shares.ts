import type {Ms} from '../clock/index.js';
import type {ShareClass} from '../targets/index.js';
import type {OthersWork} from './zone-load.js';
import type {TeamWork} from './zone-view.js';

/** A team's work in the pool. `publishedMs` is the own work that the latest digest told. */
type TeamState = {
	weight: number; calls: number; inFlightMs: Ms; queuedMs: Ms; publishedMs: Ms; othersInFlightMs: Ms; othersQueuedMs: Ms; isActive: boolean;
};

/** Work below this is a rounding error. */
const epsilonMs: Ms = 0.001;

/**
 * Each team's share of one pool over the zone. A team is active while it has work at any entry VM of the zone; shares
 * divide the pool among the active teams by weight. An entry VM may use the part of a team's share that matches its
 * part of that team's work, so that the entry VMs together stay within the share.
 *
 * @example
 * const shares = TeamShares.create('engines', team => weights.get(team) ?? 1);
 * shares.queued('engravers', 120);
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
	#publishedMs: Ms = 0;
	#othersMs: Ms = 0;

	private constructor(private readonly pool: string, private readonly weightOf: (team: string) => number) {}

	/** Queued service time of all teams over the zone. */
	get queuedMs(): Ms {
		return Math.max(0, this.#queuedMs);
	}

	/** Service time in flight of all teams over the zone. */
	get inFlightMs(): Ms {
		return Math.max(0, this.#inFlightMs);
	}

	/** Adds queued service time of this entry VM; negative when it leaves the queue. */
	queued(team: string, ms: Ms): void {
		this.#change(team, state => {
			state.queuedMs += ms;
		});
	}

	/** A call of this entry VM started. */
	started(team: string, ms: Ms): void {
		this.#change(team, state => {
			state.calls++;
			state.inFlightMs += ms;
		});
	}

	/** A call of this entry VM ended. */
	ended(team: string, ms: Ms): void {
		this.#change(team, state => {
			state.calls--;
			state.inFlightMs -= ms;
		});
	}

	/** Replaces what is known of the other entry VMs; `peers` counts them, idle ones included. */
	setOthers(work: ReadonlyMap<string, OthersWork>, peers: number): void {
		this.#peers = peers;
		for (const team of new Set([...this.#teams.keys(), ...work.keys()])) {
			const others = work.get(team);
			this.#change(team, state => {
				state.othersInFlightMs = others?.inFlightMs ?? 0;
				state.othersQueuedMs = others?.queuedMs ?? 0;
			});
		}
	}

	/** Takes changed weights. */
	reweigh(): void {
		this.#activeWeight = 0;
		for (const [team, state] of this.#teams) {
			state.weight = this.weightOf(team);
			this.#activeWeight += state.weight;
		}
	}

	/** Share in (0, 1] of the pool that a team has, or would have with work. */
	share(team: string): number {
		const state = this.#teams.get(team);
		const weight = state?.weight ?? this.weightOf(team);
		return weight / (state ? this.#activeWeight : this.#activeWeight + weight);
	}

	/** Slots of the pool that this entry VM may use for a team within its share; at least one. */
	allotment(team: string, slots: number): number {
		return Math.max(1, Math.round(slots * this.share(team) * this.#part(team)));
	}

	/** Part in (0, 1] of the pool that falls to this entry VM by its part of the work; at least an equal part. */
	part(contenders: number): number {
		return partOf(this.#publishedMs, this.#othersMs, 1 / (contenders + 1));
	}

	/** Class of a team's next call in a pool of the given slots. */
	classify(team: string, slots: number): ShareClass {
		return this.calls(team) < this.allotment(team, slots) ? 'within' : 'above';
	}

	/** Calls of this entry VM in flight. */
	calls(team: string): number {
		return this.#teams.get(team)?.calls ?? 0;
	}

	/** Queued service time of a team over the zone. */
	teamQueuedMs(team: string): Ms {
		const state = this.#teams.get(team);
		return state ? Math.max(0, state.queuedMs + state.othersQueuedMs) : 0;
	}

	/** Service time in flight of a team over the zone. */
	teamInFlightMs(team: string): Ms {
		const state = this.#teams.get(team);
		return state ? Math.max(0, state.inFlightMs + state.othersInFlightMs) : 0;
	}

	/** Returns the own work by team for a digest, and remembers it as published. */
	publish(): TeamWork[] {
		const work: TeamWork[] = [];
		this.#publishedMs = 0;
		for (const [team, state] of this.#teams) {
			state.publishedMs = state.inFlightMs + state.queuedMs;
			if (state.publishedMs > epsilonMs) {
				this.#publishedMs += state.publishedMs;
				work.push({
					team, pool: this.pool, inFlightMs: Math.max(0, state.inFlightMs), queuedMs: Math.max(0, state.queuedMs),
				});
			}
		}

		return work;
	}

	/**
	 * Part of the team's share that falls to this entry VM. It compares published work with published work: the own
	 * present work would look large against the older work of others while a burst grows at all of them. An equal part
	 * is never undercut, so that a team that has just become active here need not wait for the next digests.
	 */
	#part(team: string): number {
		const equal = 1 / (this.#peers + 1);
		const state = this.#teams.get(team);
		return state ? partOf(state.publishedMs, state.othersInFlightMs + state.othersQueuedMs, equal) : equal;
	}

	#change(team: string, apply: (state: TeamState) => void): void {
		const state = this.#teams.get(team) ?? {
			weight: this.weightOf(team), calls: 0, inFlightMs: 0, queuedMs: 0, publishedMs: 0, othersInFlightMs: 0, othersQueuedMs: 0, isActive: false,
		};
		this.#queuedMs -= state.queuedMs + state.othersQueuedMs;
		this.#inFlightMs -= state.inFlightMs + state.othersInFlightMs;
		this.#othersMs -= state.othersInFlightMs + state.othersQueuedMs;
		apply(state);
		this.#queuedMs += state.queuedMs + state.othersQueuedMs;
		this.#inFlightMs += state.inFlightMs + state.othersInFlightMs;
		this.#othersMs += state.othersInFlightMs + state.othersQueuedMs;
		const isActive = state.calls > 0 || state.queuedMs + state.othersQueuedMs + state.inFlightMs + state.othersInFlightMs > epsilonMs;
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
			// Without teams the sums hold only rounding errors.
			this.#activeWeight = 0;
			this.#queuedMs = 0;
			this.#inFlightMs = 0;
			this.#othersMs = 0;
		}
	}
}

/** Own part of work, at least `equal`. */
function partOf(ownMs: Ms, othersMs: Ms, equal: number): number {
	const allMs = ownMs + Math.max(0, othersMs);
	return allMs > epsilonMs ? Math.max(equal, ownMs / allMs) : equal;
}
