import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {Clock, Ms} from '../clock/index.js';
import type {KnownBodyEnd} from './body-framing.js';
import type {ServerSentEvent} from './event-splitter.js';
import {StreamEnd} from './stream-end.js';
import type {StreamSink, TargetResponse} from './target-attempt.js';
import type {Exchange} from './target-exchange.js';
import {writeResponseHead} from './write-response-head.js';

/** Number of bytes buffered for a caller above which reading from the target is paused. */
const highWaterBytes = 256 * 1024;

/** Options of {@link StreamWriter}. */
export interface StreamWriterOptions {
	readonly clock: Clock;
	/** True while responses tell callers to close their connections. */
	readonly isClosing: () => boolean;
	/** Value of `Last-Event-Id` of the request: the caller has the events up to it. */
	readonly lastEventId?: string | undefined;
}

/**
 * Writes an event stream to its caller across attempts at several targets. The caller receives the status and headers of
 * the first target; events that were already delivered are skipped.
 *
 * @example
 * const writer = StreamWriter.create(res, {clock, isClosing: () => false});
 */
export class StreamWriter implements StreamSink {
	static create(res: ServerResponse, options: StreamWriterOptions): StreamWriter {
		return new StreamWriter(res, options);
	}

	#lastEventId: number | undefined;
	#lastEventMs: Ms | undefined;
	#firstResponse: Pick<TargetResponse, 'status' | 'head'> | undefined;
	#eventCount = 0;
	#end: StreamEnd | undefined;
	/** Whether the part in progress still repeats events that the caller has. */
	#isBehind = false;
	#flowControl: Pick<Exchange, 'pause' | 'resume'> | undefined;

	private constructor(private readonly res: ServerResponse, private readonly options: StreamWriterOptions) {
		this.#lastEventId = parseEventId(options.lastEventId);
	}

	/** True once the status and headers have been written. */
	get hasHead(): boolean {
		return this.#firstResponse !== undefined;
	}

	get pendingBytes(): number {
		return this.res.writableLength;
	}

	/** Id of the last event that the caller has; `undefined` without one. */
	get lastEventId(): number | undefined {
		return this.#lastEventId;
	}

	/** Time at which the last event was written; `undefined` before the first. */
	get lastEventMs(): Ms | undefined {
		return this.#lastEventMs;
	}

	/** Number of events written. */
	get eventCount(): number {
		return this.#eventCount;
	}

	/** Whether a response can go on with the stream: it is the first one, or has the same status and media type. */
	accepts({status, head}: Pick<TargetResponse, 'status' | 'head'>): boolean {
		const first = this.#firstResponse;
		return !first || (status === first.status && head.mediaType === first.head.mediaType);
	}

	writeHead(response: Pick<TargetResponse, 'status' | 'head' | 'framing'>, flowControl: Pick<Exchange, 'pause' | 'resume'>): void {
		this.res.removeAllListeners('drain');
		this.res.on('drain', () => {
			flowControl.resume();
		});
		this.#flowControl = flowControl;
		this.#isBehind = false;
		if (this.#firstResponse) {
			return;
		}

		this.#firstResponse = response;
		this.#end = StreamEnd.create(response.framing);
		writeResponseHead(this.res, response, {isClosing: this.options.isClosing()});
		this.res.flushHeaders();
	}

	writeEvents(events: readonly ServerSentEvent[]): number {
		const newEvents: Buffer[] = [];
		for (const {id, bytes} of events) {
			if (id === undefined || this.#lastEventId === undefined || id > this.#lastEventId) {
				this.#lastEventId = id ?? this.#lastEventId;
				newEvents.push(bytes);
			}
		}

		if (newEvents.length > 0) {
			this.#lastEventMs = this.options.clock.now();
			this.#eventCount += newEvents.length;
			// One write for all, as each takes memory and time of its own.
			this.res.write(newEvents.length === 1 ? newEvents[0]! : Buffer.concat(newEvents));
		}

		this.#isBehind = this.#hasAlready(events.at(-1)?.id) && events.at(-1)!.id !== this.#lastEventId;
		if (this.pendingBytes > highWaterBytes) {
			this.#flowControl?.pause();
		}

		return newEvents.length;
	}

	recordMore(partialId?: number): void {
		if (!this.#isBehind && !this.#hasAlready(partialId)) {
			this.#end?.recordMore(this.#eventCount);
		}
	}

	end(remainder: Buffer, end: KnownBodyEnd): string | undefined {
		const denial = this.#end!.findDenial(end, this.#eventCount);
		if (denial !== undefined) {
			return denial;
		}

		if (remainder.length > 0) {
			this.res.write(remainder);
		}

		this.res.end();
		return undefined;
	}

	/** Resets the connection, so that the caller detects the incomplete stream whatever its message framing. */
	abort(): void {
		if (this.res.socket) {
			this.res.socket.resetAndDestroy();
		} else {
			this.res.destroy();
		}
	}

	#hasAlready(id: number | undefined): boolean {
		return id !== undefined && this.#lastEventId !== undefined && id <= this.#lastEventId;
	}
}

/** Returns an event id as a number; `undefined` for one that is no number, or too long for an exact one. */
function parseEventId(id: string | undefined): number | undefined {
	return id !== undefined && /^\d{1,15}$/u.test(id) ? Number(id) : undefined;
}
