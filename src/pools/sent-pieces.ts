import type {StagePlan} from './stage-plan.js';

/**
 * Returns a plan as it is after a run, for the next one: with the number of pieces of each stage that may have been sent.
 * Without a number, all may have been.
 *
 * @example
 * await nextHost.run(withSentPieces(plan, outcome.sentPieces), signal);
 */
export function withSentPieces(plan: StagePlan, sentPieces?: readonly number[]): StagePlan {
	return {...plan, sentPieces: plan.stages.map(({pieces}, stage) => Math.min(pieces, sentPieces?.[stage] ?? pieces))};
}

/**
 * Returns the number of pieces that arrive again at each service when a plan runs, without services that get none.
 *
 * @example
 * countRepeats(withSentPieces(plan)); // Map {'archive' => 5}
 */
export function countRepeats({stages, sentPieces = []}: StagePlan): Map<string, number> {
	const repeats = new Map<string, number>();
	for (const [stage, {service}] of stages.entries()) {
		const pieces = sentPieces[stage] ?? 0;
		if (pieces > 0) {
			repeats.set(service, (repeats.get(service) ?? 0) + pieces);
		}
	}

	return repeats;
}
