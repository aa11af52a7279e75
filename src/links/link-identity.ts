/** Identity that an entry VM presents in the handshake. */
export interface LinkIdentity {
	readonly name: string;
	readonly zone: string;
	/** Unique to each start of the process. */
	readonly incarnation: string;
}
