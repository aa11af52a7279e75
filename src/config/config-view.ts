import type {DeclarationSet} from './declaration-set.js';

/** The configuration in force in this process. */
export interface AppliedConfig {
	/** Offset of the last folded record of the stream `config`; -1 before the first. */
	readonly offset: number;
	/** Offset of the last accepted change; -1 before the first. */
	readonly revision: number;
	readonly declarations: DeclarationSet;
}

/** Read access to the configuration in force. Revisions never decrease. */
export interface ConfigView {
	current(): AppliedConfig;
	/** Calls `listener` after each newly applied revision. Returns a function that removes the listener. */
	onChange(listener: (config: AppliedConfig) => void): () => void;
}
