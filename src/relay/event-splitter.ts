import {Buffer} from 'node:buffer';

/** One complete event of a `text/event-stream` body, with its unmodified bytes. */
export interface ServerSentEvent {
	/** Value of the `id` field; `undefined` if the event has no numeric id. */
	readonly id: number | undefined;
	readonly bytes: Buffer;
}

/**
 * Splits an event stream into complete events, so that a stream interrupted inside an event can resume from another target.
 *
 * @example
 * for (const event of splitter.push(chunk)) { res.write(event.bytes); }
 */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	#remainder: Buffer = Buffer.alloc(0);

	private constructor() {}

	/** Bytes received of an incomplete event. */
	get remainder(): Buffer {
		return this.#remainder;
	}

	/** Adds a chunk and returns the events that it completes. */
	push(chunk: Buffer): ServerSentEvent[] {
		let buffer = this.#remainder.length === 0 ? chunk : Buffer.concat([this.#remainder, chunk]);
		const events: ServerSentEvent[] = [];
		for (;;) {
			const end = findEventEnd(buffer);
			if (end === -1) {
				break;
			}

			const bytes = buffer.subarray(0, end);
			events.push({id: parseEventId(bytes), bytes});
			buffer = buffer.subarray(end);
		}

		this.#remainder = buffer;
		return events;
	}
}

function findEventEnd(buffer: Buffer): number {
	const lf = buffer.indexOf('\n\n');
	const crlf = buffer.indexOf('\r\n\r\n');
	if (crlf !== -1 && (lf === -1 || crlf < lf)) {
		return crlf + 4;
	}

	return lf === -1 ? -1 : lf + 2;
}

function parseEventId(bytes: Buffer): number | undefined {
	const text = bytes.toString('latin1');
	const match = /(?:^|\n)id: ?(?<id>\d+)/.exec(text);
	return match ? Number(match.groups!.id) : undefined;
}
