import type {TimelineEvent} from './event.js';

/** An event of any version; its kind may be unknown here. */
export type PrintableEvent = Omit<TimelineEvent, 'kind'> & {readonly kind: string};

/**
 * Formats an event on one line: time, process, sequence, kind and what it concerns.
 *
 * @example
 * formatEvent(event); // '10:31:02.120 riga-1 #7 attempt_sent request r1 encode attempt 1 encoders-1'
 */
export function formatEvent(event: PrintableEvent): string {
	const time = new Date(event.wallMs).toISOString().slice(11, 23);
	const parts = [
		event.requestId === undefined ? undefined : `request ${event.requestId}`,
		event.team === undefined ? undefined : `team ${event.team}`,
		event.stage,
		event.attempt === undefined ? undefined : `attempt ${event.attempt}`,
		event.target,
		event.detail,
	];
	return [`${time} ${event.process} #${event.sequence} ${event.kind}`, ...parts.filter(part => part !== undefined)].join(' ');
}
