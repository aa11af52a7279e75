/** A folded configuration as JSON, with its offset in the stream `config`. */
export interface ConfigState {
	readonly offset: number;
	readonly state: unknown;
}

/** Port of the configuration towards links: a source of state for peers and a listener for their offsets. */
export interface ConfigExchange {
	/** Offset folded so far; told to peers with each digest. */
	offset(): number;
	/** State to hand to a peer; `undefined` when there is none. */
	state(): ConfigState | undefined;
	/** A peer has folded further than any peer before. */
	onPeerOffset(offset: number): void;
}

/** Port through which the configuration asks peers for their state. */
export interface ConfigStateSource {
	/** State of the peer with the highest offset above `above`; `undefined` when no peer gives one in time. */
	fetchConfigState(above: number, timeoutMs: number): Promise<ConfigState | undefined>;
}
