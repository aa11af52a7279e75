import {Buffer} from 'node:buffer';
import {GrowingBuffer} from '../http/index.js';

const lineFeed = 0x0A;
const carriageReturn = 0x0D;
const space = 0x20;
const digitZero = 0x30;
const digitNine = 0x39;
const colon = 0x3A;
/** Maximum number of digits of an id that a number holds exactly; longer ones are no ids. */
const maxIdDigits = 15;
/** Bytes of a line that are kept over chunks: enough for a field with an id. */
const keptLineBytes = 'id: '.length + maxIdDigits + 1;

/** One complete event of a `text/event-stream` body, with its unmodified bytes. */
export interface ServerSentEvent {
	/** Value of the `id` field; `undefined` if the event has no numeric id. */
	readonly id: number | undefined;
	readonly bytes: Buffer;
}

/**
 * Splits an event stream into complete events, so that a stream interrupted inside an event can resume from another
 * target. Lines end with LF, CR or CRLF. As the standard tells, a blank line ends an event only if a field has set data or
 * an id before it; the bytes of other blocks, such as blank lines and comments, precede the next event. Each byte is
 * looked at once.
 *
 * @example
 * for (const event of splitter.push(chunk)) { res.write(event.bytes); }
 */
export class EventSplitter {
	static create(): EventSplitter {
		return new EventSplitter();
	}

	readonly #remainder = GrowingBuffer.create();
	/** First bytes of the current line, if it began in an earlier chunk, and its length so far. */
	readonly #line = Buffer.alloc(keptLineBytes);
	#lineLength = 0;
	/** Whether the chunk before ended with a CR, whose LF may follow. */
	#isReturnPending = false;
	/** Whether the last line ended with CR alone, so that the next CR needs no LF after it. */
	#endsWithReturn = false;
	/** Whether a line of the current block is neither blank nor a comment. */
	#hasFields = false;
	/** Whether a field has set data or an id, so that the next blank line ends an event. */
	#isEvent = false;
	#id: number | undefined;

	private constructor() {}

	/** Bytes received since the last complete event. */
	get remainder(): Buffer {
		return this.#remainder.bytes;
	}

	/** Number of bytes received since the last complete event. */
	get remainderLength(): number {
		return this.#remainder.length;
	}

	/** Bytes of memory that the remainder uses. */
	get heldBytes(): number {
		return this.#remainder.capacity;
	}

	/** Whether the remainder holds a part of an event, and not only blank lines and comments. */
	get isInsideEvent(): boolean {
		if (this.#isReturnPending && this.#lineLength === 0) {
			return false;
		}

		return this.#hasFields || (this.#lineLength > 0 && this.#line[0] !== colon);
	}

	/** Id of the event that the remainder holds a part of; `undefined` if it has none, or none yet. */
	get partialId(): number | undefined {
		return this.#id;
	}

	/** Adds a chunk and returns the events that it completes. */
	push(chunk: Buffer): ServerSentEvent[] {
		const events: ServerSentEvent[] = [];
		let eventStart = 0;
		let position = 0;
		const endLine = (line: Buffer, lineStart: number, lineEnd: number, next: number) => {
			if (lineEnd > lineStart) {
				this.#readLine(line, lineStart, lineEnd);
			} else {
				if (this.#isEvent) {
					events.push({id: this.#id, bytes: this.#takeEvent(chunk.subarray(eventStart, next))});
					eventStart = next;
				}

				this.#hasFields = false;
				this.#isEvent = false;
				this.#id = undefined;
			}

			this.#lineLength = 0;
			position = next;
		};

		if (this.#isReturnPending && chunk.length > 0) {
			this.#isReturnPending = false;
			this.#endsWithReturn = chunk[0] !== lineFeed;
			endLine(this.#line, 0, Math.min(this.#lineLength, keptLineBytes), this.#endsWithReturn ? 0 : 1);
		}

		while (position < chunk.length) {
			if (this.#lineLength === 0 && !this.#hasFields) {
				// Blank lines before the first field end nothing, whatever ends them.
				const first = position;
				while (position < chunk.length && (chunk[position] === lineFeed || chunk[position] === carriageReturn)) {
					position++;
				}

				this.#endsWithReturn = position > first ? chunk[position - 1] === carriageReturn : this.#endsWithReturn;
				if (position === chunk.length) {
					break;
				}
			}

			const lineStart = position;
			while (position < chunk.length && chunk[position] !== lineFeed && chunk[position] !== carriageReturn) {
				position++;
			}

			const isWhole = this.#lineLength === 0;
			const isReturn = chunk[position] === carriageReturn;
			const isLast = position >= chunk.length - 1;
			const isBlank = isWhole && position === lineStart;
			// An LF may follow a CR, unless the lines of this stream end with CR alone.
			this.#isReturnPending = isReturn && isLast && !(isBlank && this.#endsWithReturn);
			if (position === chunk.length || this.#isReturnPending) {
				this.#keepLine(chunk.subarray(lineStart, position));
				break;
			}

			const next = isReturn && chunk[position + 1] === lineFeed ? position + 2 : position + 1;
			this.#endsWithReturn = isReturn && next === position + 1;
			if (isWhole) {
				endLine(chunk, lineStart, position, next);
			} else {
				this.#keepLine(chunk.subarray(lineStart, position));
				endLine(this.#line, 0, Math.min(this.#lineLength, keptLineBytes), next);
			}
		}

		this.#remainder.append(chunk.subarray(eventStart));
		return events;
	}

	#takeEvent(end: Buffer): Buffer {
		if (this.#remainder.length === 0) {
			return end;
		}

		this.#remainder.append(end);
		const {bytes} = this.#remainder;
		this.#remainder.clear();
		return bytes;
	}

	#keepLine(part: Buffer): void {
		part.copy(this.#line, Math.min(this.#lineLength, keptLineBytes));
		this.#lineLength += part.length;
	}

	/** Reads a line, or the first bytes of a long one. */
	#readLine(bytes: Buffer, start: number, end: number): void {
		if (bytes[start] === colon) {
			return;
		}

		this.#hasFields = true;
		if (isField('data', bytes, start, end)) {
			this.#isEvent = true;
		} else if (isField('id', bytes, start, end)) {
			const id = parseId(bytes, start + 'id:'.length, end);
			this.#id = id ?? this.#id;
			this.#isEvent ||= id !== undefined;
		}
	}
}

function isField(name: string, bytes: Buffer, start: number, end: number): boolean {
	for (let index = 0; index < name.length; index++) {
		if (bytes[start + index] !== name.codePointAt(index)) {
			return false;
		}
	}

	const nameEnd = start + name.length;
	return nameEnd === end || (nameEnd < end && bytes[nameEnd] === colon);
}

/** Returns the number at the start of a value; `undefined` if there is none, or it is too long. */
function parseId(bytes: Buffer, start: number, end: number): number | undefined {
	let position = start < end && bytes[start] === space ? start + 1 : start;
	const first = position;
	let id = 0;
	while (position < end && bytes[position]! >= digitZero && bytes[position]! <= digitNine) {
		id = (id * 10) + bytes[position]! - digitZero;
		position++;
	}

	const digits = position - first;
	return digits > 0 && digits <= maxIdDigits ? id : undefined;
}
