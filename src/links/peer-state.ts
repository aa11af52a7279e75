import type {Ms} from '../clock/index.js';

/** Another entry VM as this one sees it, for the operators' status. */
export interface PeerState {
	readonly name: string;
	/** Empty before the first contact with a configured peer. */
	readonly zone: string;
	readonly state: string;
	/** Offset of the configuration that the peer told last; -1 before the first. */
	readonly offset: number;
	readonly linked: boolean;
	/** Time since the peer's last frame, in ms; `undefined` where none arrived on a present or lost link. */
	readonly lastHeardMs: Ms | undefined;
	/** Time for which a needed link has been missing, in ms; 0 while there is one or none is needed. */
	readonly linkMissingMs: Ms;
}
