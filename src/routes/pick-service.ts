import type {Route} from './relay-declarations.js';

/**
 * Chooses the service of a request by weight; the same point of [0, 1) gives the same service.
 *
 * @example
 * pickService(route, random.float());
 */
export function pickService(route: Pick<Route, 'services'>, point: number): string {
	const total = route.services.reduce((sum, {weight}) => sum + weight, 0);
	let rest = point * total;
	for (const {service, weight} of route.services) {
		rest -= weight;
		if (rest < 0) {
			return service;
		}
	}

	return route.services.findLast(({weight}) => weight > 0)?.service ?? route.services[0]!.service;
}
