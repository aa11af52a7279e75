import type {TimelineEvent} from './event.js';

/**
 * Merges events of several processes into one timeline. Events of one process always keep their own order: an event
 * that a stepped-back clock dates before its predecessor is placed at the predecessor's time.
 *
 * @example
 * mergeEvents([ring.select(), peerEvents]);
 */
export function mergeEvents(lists: ReadonlyArray<readonly TimelineEvent[]>): TimelineEvent[] {
	const byProcess = new Map<string, Map<number, TimelineEvent>>();
	for (const event of lists.flat()) {
		const events = byProcess.get(event.process) ?? new Map<number, TimelineEvent>();
		byProcess.set(event.process, events.set(event.sequence, event));
	}

	const keyed = [...byProcess.values()].flatMap(events => placeInTime([...events.values()].toSorted((a, b) => a.sequence - b.sequence)));
	return keyed
		.toSorted((a, b) => (a.wallMs - b.wallMs) || (a.logical - b.logical) || compareText(a.event.process, b.event.process) || (a.event.sequence - b.event.sequence))
		.map(({event}) => event);
}

type Placed = {event: TimelineEvent; wallMs: number; logical: number};

/** Dates each event no earlier than the one before it in its process. */
function placeInTime(events: readonly TimelineEvent[]): Placed[] {
	let wallMs = -Infinity;
	let logical = 0;
	return events.map(event => {
		if (event.wallMs > wallMs || (event.wallMs === wallMs && event.logical > logical)) {
			({wallMs, logical} = event);
		}

		return {event, wallMs, logical};
	});
}

function compareText(a: string, b: string): number {
	return a < b ? -1 : (a > b ? 1 : 0);
}
