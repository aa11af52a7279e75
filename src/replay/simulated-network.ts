import type {Clock, Ms} from '../clock/index.js';
import type {DeclarationSet} from '../config/index.js';
import {interZoneLatencyMs} from './deployment.js';

const intraZoneLatencyMs: Ms = 0.2;

/** Simulated network: latency and transfer cost between zones, and the zones that are isolated. @internal */
export class SimulatedNetwork {
	static create(clock: Clock, declarations: DeclarationSet): SimulatedNetwork {
		return new SimulatedNetwork(clock, declarations);
	}

	readonly #isolatedZones = new Set<string>();
	readonly #latencies = new Map<string, Ms>();

	private constructor(readonly clock: Clock, private readonly declarations: DeclarationSet) {}

	region(zone: string): string {
		return this.declarations.zone(zone)!.region;
	}

	/** Returns the transfer cost of one byte between two zones. */
	costPerByte(from: string, to: string): number {
		return (this.declarations.path(this.region(from), this.region(to))?.cost_per_gb ?? 0) / 1e9;
	}

	/** Returns the one-way latency between two zones. */
	latency(from: string, to: string): Ms {
		const key = `${from} ${to}`;
		let latency = this.#latencies.get(key);
		if (latency === undefined) {
			latency = this.#computeLatency(from, to);
			this.#latencies.set(key, latency);
		}

		return latency;
	}

	setIsolated(zone: string, isIsolated: boolean): void {
		if (isIsolated) {
			this.#isolatedZones.add(zone);
		} else {
			this.#isolatedZones.delete(zone);
		}
	}

	/** True when messages between two zones are lost because one of them is isolated. */
	isPartitioned(from: string, to: string): boolean {
		return from !== to && (this.#isolatedZones.has(from) || this.#isolatedZones.has(to));
	}

	/** True when a zone can reach neither other zones nor the services of the platform. */
	isIsolated(zone: string): boolean {
		return this.#isolatedZones.has(zone);
	}

	#computeLatency(from: string, to: string): Ms {
		if (from === to) {
			return intraZoneLatencyMs;
		}

		return this.region(from) === this.region(to) ? interZoneLatencyMs : this.declarations.path(this.region(from), this.region(to))?.latency_ms ?? interZoneLatencyMs;
	}
}
