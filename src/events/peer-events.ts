import type {Ms} from '../clock/index.js';
import type {TimelineEvent} from './event.js';
import type {EventFilter} from './event-ring.js';

/** Events collected from other processes. */
export interface CollectedEvents {
	/** Matching events of each process that responded, at most the latest 2000 per process. */
	readonly events: readonly TimelineEvent[];
	/** Names of the processes that did not respond in time. */
	readonly silent: readonly string[];
}

/** Interface for collecting events of the other entry VMs. */
export interface PeerEvents {
	collect(filter: EventFilter, timeoutMs: Ms): Promise<CollectedEvents>;
}

/** Implementation for an entry VM without peers. */
export const noPeerEvents: PeerEvents = {
	async collect() {
		return {events: [], silent: []};
	},
};
