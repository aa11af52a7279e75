import type {Ms} from '../clock/index.js';

/** State of another entry VM as seen by this one, for the operators' status. */
export interface PeerState {
	readonly name: string;
	/** Empty for a configured peer whose zone is not known yet. */
	readonly zone: string;
	readonly state: string;
	/** Configuration offset last reported by the peer; -1 before the first report. */
	readonly offset: number;
	readonly linked: boolean;
	/**
	 * Time since the last frame from the peer, in ms, on its link or on the lost link that is being replaced; `undefined`
	 * without either.
	 */
	readonly lastHeardMs: Ms | undefined;
	/** How long a needed link has been missing, in ms; 0 while it exists or is not needed. */
	readonly linkMissingMs: Ms;
}
