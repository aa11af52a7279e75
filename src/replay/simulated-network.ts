import type {Clock, Ms} from '../clock/index.js';
import type {DeclarationSet} from '../config/index.js';
import {zoneMs} from './deployment.js';

const sameZoneMs: Ms = 0.2;

/** Latencies between zones and the zones that are cut off. @internal */
export class FakeNetwork {
	static create(clock: Clock, declarations: DeclarationSet): FakeNetwork {
		return new FakeNetwork(clock, declarations);
	}

	readonly #cutZones = new Set<string>();
	readonly #latencies = new Map<string, Ms>();

	private constructor(readonly clock: Clock, private readonly declarations: DeclarationSet) {}

	region(zone: string): string {
		return this.declarations.zone(zone)!.region;
	}

	/** Price of one byte between two zones. */
	bytePrice(from: string, to: string): number {
		return (this.declarations.path(this.region(from), this.region(to))?.cost_per_gb ?? 0) / 1e9;
	}

	/** One-way latency between two zones in ms. */
	latency(from: string, to: string): Ms {
		const key = `${from} ${to}`;
		let latency = this.#latencies.get(key);
		if (latency === undefined) {
			latency = this.#latencyOf(from, to);
			this.#latencies.set(key, latency);
		}

		return latency;
	}

	setCut(zone: string, isCut: boolean): void {
		if (isCut) {
			this.#cutZones.add(zone);
		} else {
			this.#cutZones.delete(zone);
		}
	}

	isCut(from: string, to: string): boolean {
		return from !== to && (this.#cutZones.has(from) || this.#cutZones.has(to));
	}

	/** True when a zone reaches no other zone and no service of the platform. */
	isCutOff(zone: string): boolean {
		return this.#cutZones.has(zone);
	}

	#latencyOf(from: string, to: string): Ms {
		if (from === to) {
			return sameZoneMs;
		}

		return this.region(from) === this.region(to) ? zoneMs : this.declarations.path(this.region(from), this.region(to))?.latency_ms ?? zoneMs;
	}
}
