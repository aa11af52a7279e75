import type {Target} from '../targets/index.js';
import type {RouteCandidate, Router, RouteRequest} from './router.js';

/**
 * Baseline router that chooses the free targets of each pool in round-robin order.
 *
 * @example
 * const router = RoundRobinRouter.create();
 */
export class RoundRobinRouter implements Router {
	static create(): RoundRobinRouter {
		return new RoundRobinRouter();
	}

	/** Index of the next candidate to try, by pool. */
	readonly #nextIndexes = new Map<string, number>();

	private constructor() {}

	choose(request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined {
		const {pool} = request.work.stage;
		const start = this.#nextIndexes.get(pool) ?? 0;
		for (let offset = 0; offset < candidates.length; offset++) {
			const index = (start + offset) % candidates.length;
			if (candidates[index]!.isFree) {
				this.#nextIndexes.set(pool, index + 1);
				return candidates[index]!.target;
			}
		}

		return undefined;
	}
}
