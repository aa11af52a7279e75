import type {Ms} from '../clock/index.js';
import type {Target} from '../targets/index.js';
import type {StageWork} from '../teams/scheduler.js';
import type {Prefix} from './prefix-hasher.js';

/** A target that may be chosen, with its estimated load. */
export interface RouteCandidate {
	readonly target: Target;
	/** Calls in flight: those of this entry VM (exact) plus those of other entry VMs (as last reported). */
	readonly calls: number;
	/** Number of concurrent calls that the target serves without slowing down. */
	readonly limit: number;
	/** Ratio of the target's measured service time to the pool's. */
	readonly slowdown: number;
	/** Whether a call may be sent now. */
	readonly isFree: boolean;
}

/** A stage attempt to route. */
export interface RouteRequest {
	readonly work: StageWork;
	readonly prefixes: readonly Prefix[];
	readonly now: Ms;
	/** Predicted wait for a slot on a target that is not free. */
	readonly predictedWaitMs: Ms;
	/** Ratio of the pool's measured service times to the estimated ones. */
	readonly serviceTimeCorrection: number;
	/** Minimum time needed by the stages after this one. */
	readonly laterStagesMs: Ms;
}

/** Chooses the target for a stage attempt. */
export interface Router {
	/** Returns a free target, or `undefined` when none is free or when waiting is cheaper. */
	choose(request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined;
}
