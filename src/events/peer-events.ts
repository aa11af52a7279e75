import type {TimelineEvent} from './event.js';
import type {EventFilter} from './event-ring.js';

/** Events of other processes. */
export interface PeerEventsReply {
	readonly events: readonly TimelineEvent[];
	/** Names of the processes that did not answer. */
	readonly missing: readonly string[];
}

/** Port to the event rings of other processes. Must answer within a bounded time. */
export interface PeerEvents {
	select(filter: EventFilter): Promise<PeerEventsReply>;
}

/**
 * Peer events of a process without links: none.
 *
 * @example
 * const {events} = await localOnlyEvents.select({});
 */
export const localOnlyEvents: PeerEvents = {
	async select() {
		return {events: [], missing: []};
	},
};
