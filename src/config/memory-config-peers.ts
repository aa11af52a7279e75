import type {ConfigEndpoint, ConfigPeers} from './config-peers.js';

/**
 * In-process network of peers for tests. Responses are delivered asynchronously.
 *
 * @example
 * const network = MemoryConfigPeers.network();
 * const peers = network.join('riga-1');
 */
export class MemoryConfigPeers {
	/** Creates a network without members. */
	static create(): MemoryConfigPeers {
		return new MemoryConfigPeers();
	}

	/** Names of members that are partitioned from the others. */
	readonly cutOff = new Set<string>();
	readonly #members = new Map<string, ConfigEndpoint>();

	private constructor() {}

	/** Adds a member and returns its connection to the network. */
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
