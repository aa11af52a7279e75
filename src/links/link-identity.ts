/** Who an entry VM says it is in a handshake. */
export interface LinkIdentity {
	readonly name: string;
	readonly zone: string;
	/** Differs for each start of the process. */
	readonly incarnation: string;
}
