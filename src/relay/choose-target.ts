import type {Ms} from '../clock/index.js';
import type {RelayTarget} from '../registry/index.js';

/** How far a zone is from this entry VM. */
export type ZoneDistance = 'same_zone' | 'same_region' | 'other_region';

/** Time of a call and its answer on the way, by distance; typical of paths between zones and between regions. */
const travelMs: Record<ZoneDistance, Ms> = {same_zone: 0, same_region: 3, other_region: 40};
/** Time of a call before the first answer was measured. */
const assumedLatencyMs: Ms = 20;
/** Expected loss of time by a failed call: the answer has to be fetched elsewhere, or is lost. */
const failureMs: Ms = 400;

/** What is known of the request. */
export interface ChooseTargetOptions {
	readonly now: Ms;
	/** Targets that the request was sent to before. */
	readonly tried: ReadonlySet<RelayTarget>;
	readonly distance: (zone: string) => ZoneDistance;
	/** Ends ties, in [0, 1). */
	readonly point: number;
}

/**
 * Chooses the target of a plain call: the least expected time to a good answer, from its measured latency, the calls in
 * flight from here, its failures and its distance. Targets that could not be reached lately come last.
 *
 * @example
 * chooseTarget(registry.open('order-desk'), {now, tried, distance, point: random.float()});
 */
export function chooseTarget(targets: readonly RelayTarget[], options: ChooseTargetOptions): RelayTarget | undefined {
	const {now, tried, distance, point} = options;
	const untried = targets.filter(target => !tried.has(target));
	const reachable = untried.filter(target => !target.isAvoided(now));
	const candidates = reachable.length > 0 ? reachable : untried;
	const costs = candidates.map(target => ({target, cost: expectedMs(target, distance(target.entry.zone))}));
	const least = Math.min(...costs.map(({cost}) => cost));
	const best = costs.filter(({cost}) => cost <= least + 1);
	return best[Math.floor(point * best.length)]?.target;
}

function expectedMs(target: RelayTarget, distance: ZoneDistance): Ms {
	// Measured latency includes the way; a queue forms once every slot is taken.
	const latency = target.latencyMs === 0 ? assumedLatencyMs + travelMs[distance] : target.latencyMs;
	const waiting = Math.max(0, (target.inFlight + 1) / Math.max(1, target.entry.slots));
	return latency + (latency * waiting) + (target.failureRate * failureMs);
}
