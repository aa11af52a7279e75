import type {Target} from '../targets/index.js';
import type {RouteCandidate, Router, RouteRequest} from './router.js';

/**
 * Baseline router: the free targets of each pool in turn.
 *
 * @example
 * const router = RoundRobinRouter.create();
 */
export class RoundRobinRouter implements Router {
	static create(): RoundRobinRouter {
		return new RoundRobinRouter();
	}

	readonly #turns = new Map<string, number>();

	private constructor() {}

	choose(request: RouteRequest, candidates: readonly RouteCandidate[]): Target | undefined {
		const {pool} = request.work.stage;
		const turn = this.#turns.get(pool) ?? 0;
		for (let step = 0; step < candidates.length; step++) {
			const index = (turn + step) % candidates.length;
			if (candidates[index]!.isFree) {
				this.#turns.set(pool, index + 1);
				return candidates[index]!.target;
			}
		}

		return undefined;
	}
}
