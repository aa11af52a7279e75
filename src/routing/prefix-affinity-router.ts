import type {Target} from '../targets/index.js';
import type {PrefixIndex} from './prefix-index.js';
import type {RouteCandidate, Router, RouteRequest} from './router.js';

/**
 * Baseline router that chooses the free target with the fewest uncached prompt tokens. Ties go to the target with the
 * fewest calls in flight.
 *
 * @example
 * const router = PrefixAffinityRouter.create(index);
 */
export class PrefixAffinityRouter implements Router {
	static create(index: PrefixIndex): PrefixAffinityRouter {
		return new PrefixAffinityRouter(index);
	}

	private constructor(private readonly index: PrefixIndex) {}

	choose(request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined {
		let best: {candidate: RouteCandidate; uncachedTokens: number} | undefined;
		for (const candidate of candidates) {
			if (!candidate.isFree) {
				continue;
			}

			const uncachedTokens = this.index.uncachedTokens(candidate.target.name, request.prefixes);
			if (!best || uncachedTokens < best.uncachedTokens || (uncachedTokens === best.uncachedTokens && candidate.calls < best.candidate.calls)) {
				best = {candidate, uncachedTokens};
			}
		}

		return best?.candidate.target;
	}
}
