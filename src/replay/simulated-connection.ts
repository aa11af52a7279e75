import type {FakeNetwork} from './simulated-network.js';

/** One connection of a call: delays messages by the latency, loses all of them once it went silent. @internal */
export class FakeConnection {
	/** A silent connection carries nothing in either direction, and neither end is told. */
	isSilent = false;

	constructor(private readonly network: FakeNetwork, readonly fromZone: string, readonly toZone: string) {}

	/** Delivers a message in either direction after the one-way latency. */
	send(deliver: () => void): void {
		if (this.isSilent || this.network.isCut(this.fromZone, this.toZone)) {
			this.isSilent = true;
			return;
		}

		this.network.clock.after(this.network.latency(this.fromZone, this.toZone), () => {
			if (!this.isSilent) {
				deliver();
			}
		});
	}
}
