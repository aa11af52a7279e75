/** What a link needs of a WebSocket; `ws` provides it through `wsLinkSocket`, tests through a pair in memory. */
export interface LinkSocket {
	/** Bytes accepted by `send` and not yet written. */
	readonly bufferedAmount: number;
	send(bytes: Uint8Array, onWritten: () => void): void;
	/** Ends the connection at once, without a closing handshake. */
	terminate(): void;
	on(event: 'open' | 'close', listener: () => void): void;
	on(event: 'message', listener: (bytes: Uint8Array) => void): void;
	on(event: 'error', listener: (err: Error) => void): void;
}
