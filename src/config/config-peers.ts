import type {ConfigState} from './config-state.js';

/** Operations of a follower that the transport between entry VMs calls. */
export interface ConfigEndpoint {
	/** Returns the configuration state if its offset is greater than `offset`. */
	stateAfter(offset: number): ConfigState | undefined;
	/** Applies a state from a peer; a malformed or older one is ignored. */
	receive(state: unknown, peer: string): void;
	/** Reports the offset of a peer. An offset above the follower's own starts a read immediately. */
	hintOffset(offset: number, peer: string): void;
}

/** Port to the configuration of other entry VMs. */
export interface ConfigPeers {
	/** Registers the follower; called once, before `request`. */
	attach(endpoint: ConfigEndpoint): void;
	/** Requests states above an offset from reachable peers; responses arrive at `ConfigEndpoint.receive`. */
	request(afterOffset: number): void;
}
