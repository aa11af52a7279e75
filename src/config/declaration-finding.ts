/** One fault in declarations. A change with an error is rejected; a warning is only reported. */
export interface DeclarationFinding {
	readonly severity: 'error' | 'warning';
	/** `kind/name` of the declaration; empty where it has none. */
	readonly key: string;
	/** Path inside the declaration, such as `stages.1.pool`; empty for the whole. */
	readonly path: string;
	readonly message: string;
	/** File and line (from 1) of declarations that were read from a file. */
	readonly file?: string;
	readonly line?: number;
}
