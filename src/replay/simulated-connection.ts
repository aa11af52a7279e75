import type {SimulatedNetwork} from './simulated-network.js';

/** Simulated connection of one call. Delays messages by the network latency and loses all of them once half-open. @internal */
export class SimulatedConnection {
	/** A half-open connection delivers nothing in either direction, and neither end is notified. */
	isHalfOpen = false;

	constructor(private readonly network: SimulatedNetwork, readonly fromZone: string, readonly toZone: string) {}

	/** Delivers a message, in either direction, after the one-way latency. A message sent into a partition makes the connection half-open. */
	send(deliver: () => void): void {
		if (this.isHalfOpen || this.network.isPartitioned(this.fromZone, this.toZone)) {
			this.isHalfOpen = true;
			return;
		}

		this.network.clock.after(this.network.latency(this.fromZone, this.toZone), () => {
			if (!this.isHalfOpen) {
				deliver();
			}
		});
	}
}
