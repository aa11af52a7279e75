import type {ConfigEndpoint, ConfigPeers} from './config-peers.js';

/**
 * Peers within one process, for tests. Answers arrive asynchronously, as over a network.
 *
 * @example
 * const network = MemoryConfigPeers.network();
 * const peers = network.join('riga-1');
 */
export class MemoryConfigPeers {
	/** Creates a network without members. */
	static network(): MemoryConfigPeers {
		return new MemoryConfigPeers();
	}

	/** Names of members that are cut off from the others. */
	readonly cutOff = new Set<string>();
	readonly #members = new Map<string, ConfigEndpoint>();

	private constructor() {}

	/** Returns the port of a new member. */
	join(name: string): ConfigPeers {
		return {
			attach: endpoint => {
				this.#members.set(name, endpoint);
			},
			request: afterOffset => {
				queueMicrotask(() => {
					this.#deliver(name, afterOffset);
				});
			},
		};
	}

	#deliver(name: string, afterOffset: number): void {
		if (this.cutOff.has(name)) {
			return;
		}

		for (const [peer, endpoint] of this.#members) {
			const state = peer === name || this.cutOff.has(peer) ? undefined : endpoint.stateAfter(afterOffset);
			if (state) {
				this.#members.get(name)?.receive(structuredClone(state), peer);
			}
		}
	}
}
