import type {Random} from '../random/index.js';

/**
 * Picks the better one of two random candidates among those whose cost is at most `tolerance` above the lowest. Entry VMs
 * that know the same of the engines so spread their prompts, where the lowest cost would send all of them to one engine.
 *
 * @example
 * const choice = pickNearlyBest(candidates, {tolerance: 0.003, random});
 */
export function pickNearlyBest<Candidate extends {readonly cost: number}>(candidates: readonly Candidate[], {tolerance, random}: {readonly tolerance: number; readonly random: Pick<Random, 'integer'>}): Candidate | undefined {
	let lowestCost = Infinity;
	for (const {cost} of candidates) {
		lowestCost = Math.min(lowestCost, cost);
	}

	const nearlyBest = candidates.filter(({cost}) => cost <= lowestCost + tolerance);
	if (nearlyBest.length <= 1) {
		return nearlyBest[0];
	}

	const first = random.integer(0, nearlyBest.length - 1);
	const second = (first + random.integer(1, nearlyBest.length - 1)) % nearlyBest.length;
	const [a, b] = [nearlyBest[first]!, nearlyBest[second]!];
	return a.cost <= b.cost ? a : b;
}
