import type {ConfigState} from './config-state.js';

/** What a follower offers to the transport between peers. */
export interface ConfigEndpoint {
	/** The state in force when it is newer than an offset. */
	stateAfter(offset: number): ConfigState | undefined;
	/** Takes a peer's state; a malformed or older one is ignored. */
	receive(state: unknown, peer: string): void;
	/** A peer reports its offset; a higher one makes the follower read at once. */
	hintOffset(offset: number, peer: string): void;
}

/** Port to the configuration of other entry VMs. */
export interface ConfigPeers {
	/** Connects the follower; called once, before `request`. */
	attach(endpoint: ConfigEndpoint): void;
	/** Asks reachable peers for a state newer than an offset; answers arrive at `ConfigEndpoint.receive`. */
	request(afterOffset: number): void;
}
