import type {Ms} from '../clock/index.js';
import type {RelayTarget} from '../registry/index.js';

/** Network distance between a zone and this entry VM. */
export type ZoneDistance = 'same_zone' | 'same_region' | 'other_region';

/** Typical network round-trip time by distance. */
const roundTripMs: Record<ZoneDistance, Ms> = {same_zone: 0, same_region: 3, other_region: 40};
/** Service time assumed for a target without a latency measurement. */
const defaultLatencyMs: Ms = 20;
/** Expected delay caused by a failed call: the request has to be sent to another target, or fails as a whole. */
const failurePenaltyMs: Ms = 400;

/** Request and state on which the choice of a target depends. */
export interface ChooseTargetOptions {
	readonly now: Ms;
	/** Targets that the request was sent to before. */
	readonly tried: ReadonlySet<RelayTarget>;
	readonly distance: (zone: string) => ZoneDistance;
	/** Selects among targets of nearly equal cost; in [0, 1). */
	readonly tieBreaker: number;
}

/**
 * Chooses the target with the lowest expected time to a successful response, from measured latency, calls in flight from
 * this entry VM, failure rate and distance. Targets that were recently unreachable or busy are used only if no other is
 * left.
 *
 * @example
 * chooseTarget(registry.acceptingTargets('order-desk'), {now, tried, distance, tieBreaker: random.float()});
 */
export function chooseTarget(targets: readonly RelayTarget[], options: ChooseTargetOptions): RelayTarget | undefined {
	const {now, tried, distance, tieBreaker} = options;
	const untried = targets.filter(target => !tried.has(target));
	const preferred = untried.filter(target => !target.isAvoided(now));
	const candidates = preferred.length > 0 ? preferred : untried;
	const costs = candidates.map(target => ({target, cost: expectedMs(target, distance(target.entry.zone))}));
	const lowestCost = Math.min(...costs.map(({cost}) => cost));
	const best = costs.filter(({cost}) => cost <= lowestCost + 1);
	return best[Math.floor(tieBreaker * best.length)]?.target;
}

function expectedMs(target: RelayTarget, distance: ZoneDistance): Ms {
	// Measured latency includes the network. The delay grows with the calls in flight per slot, as calls queue for slots.
	const latency = target.latencyMs === 0 ? defaultLatencyMs + roundTripMs[distance] : target.latencyMs;
	const queueFactor = Math.max(0, (target.inFlight + 1) / Math.max(1, target.entry.slots));
	return latency + (latency * queueFactor) + (target.failureRate * failurePenaltyMs);
}
