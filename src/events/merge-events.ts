import type {TimelineEvent} from './event.js';

/**
 * Merges events of several processes into one timeline, without duplicates. Events of one process always keep their
 * order: an event whose time precedes that of its predecessor, because the clock stepped back, is sorted by the
 * predecessor's time.
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

	const timedEvents = [...byProcess.values()].flatMap(events => assignMonotonicTimes([...events.values()].toSorted((a, b) => a.sequence - b.sequence)));
	return timedEvents
		.toSorted((a, b) => (a.wallMs - b.wallMs) || (a.logical - b.logical) || compareText(a.event.process, b.event.process) || (a.event.sequence - b.event.sequence))
		.map(({event}) => event);
}

type TimedEvent = {event: TimelineEvent; wallMs: number; logical: number};

/** Assigns each event of a process a time no earlier than its predecessor's. */
function assignMonotonicTimes(events: readonly TimelineEvent[]): TimedEvent[] {
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
