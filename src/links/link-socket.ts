/** The subset of a WebSocket that a link uses. `wsLinkSocket` implements it with `ws`; tests use an in-memory pair. */
export interface LinkSocket {
	/** Number of bytes accepted by `send` but not yet written to the network. */
	readonly bufferedAmount: number;
	send(bytes: Uint8Array, onWritten: () => void): void;
	/** Closes the connection immediately, without a closing handshake. */
	terminate(): void;
	on(event: 'open' | 'close', listener: () => void): void;
	on(event: 'message', listener: (bytes: Uint8Array) => void): void;
	on(event: 'error', listener: (err: Error) => void): void;
}
