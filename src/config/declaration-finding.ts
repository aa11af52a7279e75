/** A problem in a declaration. An error rejects the change; a warning is only reported. */
export interface DeclarationFinding {
	readonly severity: 'error' | 'warning';
	/** `kind/name` of the declaration; empty if it has none. */
	readonly key: string;
	/** Path inside the declaration, such as `stages.1.pool`; empty for the whole declaration. */
	readonly path: string;
	readonly message: string;
	/** File and line (starting at 1) of a declaration loaded from a file. */
	readonly file?: string;
	readonly line?: number;
}
