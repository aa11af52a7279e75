import type {Route} from './relay-declarations.js';

/**
 * Chooses the service of a request by weight. `randomValue` is in [0, 1); the same value selects the same service.
 *
 * @example
 * pickService(route, random.float());
 */
export function pickService(route: Pick<Route, 'services'>, randomValue: number): string {
	const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
	let remaining = randomValue * total;
	for (const {service, weight} of route.services) {
		remaining -= weight;
		if (remaining < 0) {
			return service;
		}
	}

	return route.services.findLast(({weight}) => weight > 0)?.service ?? route.services[0]!.service;
}
