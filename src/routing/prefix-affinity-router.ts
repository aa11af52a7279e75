import type {Target} from '../targets/index.js';
import type {PrefixIndex} from './prefix-index.js';
import type {RouteCandidate, Router, RouteRequest} from './router.js';

/**
 * Baseline router: the free target that holds most of the prompt's prefix; the fewest calls decide a tie.
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
		let best: {candidate: RouteCandidate; uncached: number} | undefined;
		for (const candidate of candidates) {
			if (!candidate.isFree) {
				continue;
			}

			const uncached = this.index.uncachedTokens(candidate.target.name, request.prefixes);
			if (!best || uncached < best.uncached || (uncached === best.uncached && candidate.calls < best.candidate.calls)) {
				best = {candidate, uncached};
			}
		}

		return best?.candidate.target;
	}
}
