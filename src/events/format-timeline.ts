import type {TimelineEvent} from './event.js';

/** An event from a process of any version, whose kind may be unknown to this one. */
export type PrintableEvent = Omit<TimelineEvent, 'kind'> & {readonly kind: string};

const columnTitles = ['time', 'process', 'event', 'request', 'team', 'stage', 'attempt', 'target', 'detail'];

/**
 * Formats events as aligned columns with a header; columns that are empty for every event are omitted. The number
 * after a process name is the event's sequence number there: a missing number is an event that was not selected or
 * has been lost.
 *
 * @example
 * formatTimeline(events); // ['time          process   event  …', '10:31:02.120  riga-1 #7  attempt_sent  …']
 */
export function formatTimeline(events: readonly PrintableEvent[]): string[] {
	if (events.length === 0) {
		return [];
	}

	const rows = events.map(event => toCells(event));
	const widths = columnTitles.map((title, column) => {
		const width = Math.max(...rows.map(row => row[column]!.length));
		return width === 0 ? 0 : Math.max(width, title.length);
	});
	return [columnTitles, ...rows].map(row => row.flatMap((cell, column) => widths[column] === 0 ? [] : [cell.padEnd(widths[column]!)]).join('  ').trimEnd());
}

function toCells(event: PrintableEvent): string[] {
	return [
		new Date(event.wallMs).toISOString().slice(11, 23),
		`${event.process} #${event.sequence}`,
		event.kind,
		event.requestId ?? '',
		event.team ?? '',
		event.stage ?? '',
		event.attempt === undefined ? '' : String(event.attempt),
		event.target ?? '',
		event.detail ?? '',
	];
}
