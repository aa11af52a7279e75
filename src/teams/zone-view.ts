import type {Ms} from '../clock/index.js';

/** Estimated service time of a team's calls in one pool at one entry VM. */
export interface TeamWork {
	readonly team: string;
	readonly pool: string;
	readonly inFlightMs: Ms;
	readonly queuedMs: Ms;
}

/** Load digest that each entry VM sends to the other entry VMs of its zone once a second. */
export interface ZoneDigest {
	/** Name of the sending process. */
	readonly process: string;
	/** Distinguishes restarts of the sender. */
	readonly incarnation: string;
	/** Increases with each digest of an incarnation. */
	readonly sequence: number;
	/** Work by team and pool; teams without work are omitted. */
	readonly work: readonly TeamWork[];
	/** Calls in flight from the sender per target; targets without calls are omitted. */
	readonly inFlight: ReadonlyArray<{readonly target: string; readonly calls: number}>;
	/** Targets that the sender knows to be draining. */
	readonly draining: ReadonlyArray<{readonly target: string; readonly startId: string}>;
	/** Offset in the configuration stream up to which the sender has applied changes. */
	readonly configOffset: number;
}

/** Latest digests of the other entry VMs of the zone. */
export interface ZoneView {
	/** The latest digest of each live peer, none older than three digest intervals. */
	peerDigests(): readonly ZoneDigest[];
}

/** View of a zone without other entry VMs. */
export const emptyZoneView: ZoneView = {peerDigests: () => []};
