import {Buffer} from 'node:buffer';

/** One whole event of an event stream, with its bytes as they came. */
export interface WholeEvent {
	/** Number after `id:`; `undefined` where the event has none. */
	readonly id: number | undefined;
	readonly bytes: Buffer;
}

/**
 * Cuts an event stream into whole events, so that a stream that breaks off inside one can go on elsewhere.
 *
 * @example
 * for (const event of splitter.push(chunk)) { res.write(event.bytes); }
 */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	#rest: Buffer = Buffer.alloc(0);

	private constructor() {}

	/** Bytes of an event that is not whole yet. */
	get rest(): Buffer {
		return this.#rest;
	}

	push(chunk: Buffer): WholeEvent[] {
		let buffer = this.#rest.length === 0 ? chunk : Buffer.concat([this.#rest, chunk]);
		const events: WholeEvent[] = [];
		for (;;) {
			const end = endOfEvent(buffer);
			if (end === -1) {
				break;
			}

			const bytes = buffer.subarray(0, end);
			events.push({id: idOf(bytes), bytes});
			buffer = buffer.subarray(end);
		}

		this.#rest = buffer;
		return events;
	}
}

function endOfEvent(buffer: Buffer): number {
	const lf = buffer.indexOf('\n\n');
	const crlf = buffer.indexOf('\r\n\r\n');
	if (crlf !== -1 && (lf === -1 || crlf < lf)) {
		return crlf + 4;
	}

	return lf === -1 ? -1 : lf + 2;
}

function idOf(bytes: Buffer): number | undefined {
	const text = bytes.toString('latin1');
	const match = /(?:^|\n)id: ?(?<id>\d+)/.exec(text);
	return match ? Number(match.groups!.id) : undefined;
}
