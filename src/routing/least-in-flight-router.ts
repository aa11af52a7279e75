import type {Target} from '../targets/index.js';
import type {RouteCandidate, Router, RouteRequest} from './router.js';

/**
 * Baseline router that chooses the free target with the fewest calls in flight.
 *
 * @example
 * const router = LeastInFlightRouter.create();
 */
export class LeastInFlightRouter implements Router {
	static create(): LeastInFlightRouter {
		return new LeastInFlightRouter();
	}

	private constructor() {}

	choose(_request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined {
		let best: RouteCandidate | undefined;
		for (const candidate of candidates) {
			if (candidate.isFree && (!best || candidate.calls < best.calls)) {
				best = candidate;
			}
		}

		return best?.target;
	}
}
