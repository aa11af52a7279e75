import type {Ms} from '../clock/index.js';

/** Work of one team in one pool at one entry VM, in ms of estimated service time. */
export interface TeamWork {
	readonly team: string;
	readonly pool: string;
	readonly inFlightMs: Ms;
	readonly queuedMs: Ms;
}

/** What one entry VM tells the others of its zone each second. */
export interface ZoneDigest {
	/** Name and incarnation of the sender. */
	readonly process: string;
	readonly incarnation: string;
	/** Grows with each digest of an incarnation. */
	readonly sequence: number;
	/** Only teams with work. */
	readonly work: readonly TeamWork[];
	/** Calls in flight from the sender per target; only targets with calls. */
	readonly inFlight: ReadonlyArray<{readonly target: string; readonly calls: number}>;
	/** Targets that the sender knows to drain. */
	readonly draining: ReadonlyArray<{readonly target: string; readonly startId: string}>;
	/** Offset of the configuration stream that the sender has folded. */
	readonly configOffset: number;
}

/** Latest digests of the other entry VMs of the zone. */
export interface ZoneView {
	/** Digests not older than three intervals, one for each live peer. */
	others(): readonly ZoneDigest[];
}

/** Zone view of an entry VM without peers. */
export const emptyZoneView: ZoneView = {others: () => []};
