import type {Ms} from '../clock/index.js';
import type {TimelineEvent} from './event.js';
import type {EventFilter} from './event-ring.js';

/** Events of other processes. */
export interface CollectedEvents {
	/** Of every process that answered; of each at most its latest 2000 that match. */
	readonly events: readonly TimelineEvent[];
	/** Processes that did not answer in time. */
	readonly silent: readonly string[];
}

/** Port that collects events of the other entry VMs. */
export interface PeerEvents {
	collect(filter: EventFilter, timeoutMs: Ms): Promise<CollectedEvents>;
}

/** Port of an entry VM without peers. */
export const noPeerEvents: PeerEvents = {
	async collect() {
		return {events: [], silent: []};
	},
};
