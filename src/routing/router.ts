import type {Ms} from '../clock/index.js';
import type {Target} from '../targets/index.js';
import type {StageWork} from '../teams/scheduler.js';
import type {Prefix} from './prefix-names.js';

/** A target that may be chosen, with what is known of its load. */
export interface RouteCandidate {
	readonly target: Target;
	/** Calls in flight from this entry VM (exact) and from others (as of their latest report). */
	readonly calls: number;
	/** Calls that the target serves at once without slowing down. */
	readonly limit: number;
	/** Measured service time relative to the pool's. */
	readonly slowdown: number;
	/** True when a call may be sent now. */
	readonly isFree: boolean;
}

/** A stage attempt to route. */
export interface RouteRequest {
	readonly work: StageWork;
	readonly prefixes: readonly Prefix[];
	readonly now: Ms;
	/** Predicted wait for a slot at a target that is not free. */
	readonly waitMs: Ms;
	/** Measured time per estimated time of the pool. */
	readonly correction: number;
	/** Least time that the later stages need. */
	readonly laterMs: Ms;
}

/** Chooses the target of a stage attempt. */
export interface Router {
	/** Returns a free candidate, or `undefined` when it is better to wait or none is free. */
	choose(request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined;
}
