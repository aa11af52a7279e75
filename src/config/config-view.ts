import type {DeclarationSet} from './declarations-set.js';

/** The configuration in force at this process. */
export interface AppliedConfig {
	/** Offset of the last folded record of the stream `config`; -1 before the first. */
	readonly offset: number;
	/** Offset of the last accepted change; -1 before the first. */
	readonly revision: number;
	readonly declarations: DeclarationSet;
}

/** Read access to the configuration in force. Revisions only grow. */
export interface ConfigView {
	current(): AppliedConfig;
	/** Calls `listener` after each newly applied revision; returns a function that removes it. */
	onChange(listener: (config: AppliedConfig) => void): () => void;
}
