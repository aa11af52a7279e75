import {Gauge, type Registry} from 'prom-client';

/**
 * Adds a gauge whose value is read when the metrics are collected.
 *
 * @example
 * addGauge(registry, {name: 'guavamill_in_flight', help: 'Requests in progress.', read: () => server.inFlight});
 */
export function addGauge(registry: Registry, {name, help, read}: {name: string; help: string; read: () => number}): void {
	// eslint-disable-next-line no-new -- The gauge registers itself in the registry.
	new Gauge({
		name,
		help,
		registers: [registry],
		collect() {
			this.set(read());
		},
	});
}
