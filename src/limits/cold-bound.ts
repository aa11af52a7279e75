import type {Ms} from '../clock/index.js';

/** Time from the request for a permit, and the wait that it grants, within which the permitted request must be sent: a round trip between regions, a new connection, and waiting for the event loop. */
export const permitTtlMs: Ms = 300;
/** Length of the windows in which the requests to a cold target are bounded. */
export const boundWindowMs: Ms = 1000;
/** Number of coordinators that may grant permits at once: lists of entry VMs may differ on the two sides of a partition. */
const maxCoordinators = 2;

/** Bound on the requests to a cold target from all entry VMs in any second: `overage` times the rate that its service tolerates, plus `slack`. */
export interface ColdBound {
	readonly overage: number;
	readonly slack: number;
}

/** Bound without settings: no more than the rate that the service tolerates. */
export const strictColdBound: ColdBound = {overage: 1, slack: 0};

/**
 * Returns the rate, in requests per second, at which a coordinator spaces its permits. The requests of any second hold
 * permits that were spaced over that second and the time in which a permit can be used. Their number exceeds the product
 * of rate and time by less than one, and two coordinators together stay within the bound.
 *
 * @example
 * permitRate(11, {overage: 1.5, slack: 5}); // 7.5
 */
export function permitRate(perSecond: number, {overage, slack}: ColdBound): number {
	const perCoordinator = ((perSecond * overage) + slack) / maxCoordinators;
	return Math.max(0, perCoordinator - 1) * 1000 / (boundWindowMs + permitTtlMs);
}
