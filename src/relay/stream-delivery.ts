import type {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import type {WholeEvent} from './event-splitter.js';
import type {StreamSink, WholeAnswer} from './target-attempt.js';
import type {Exchange} from './target-exchange.js';
import {writeAnswerHead} from './write-answer-head.js';

/** Bytes waiting for a caller above which its target is held back. */
const highWaterBytes = 256 * 1024;

/**
 * Writes a stream to its caller, event by event, across attempts at several targets: the head is that of the first one,
 * and an event that the caller has already is left out.
 *
 * @example
 * const delivery = StreamDelivery.create(res, {isClosing: () => false});
 */
export class StreamDelivery implements StreamSink {
	static create(res: ServerResponse, options: {isClosing: () => boolean}): StreamDelivery {
		return new StreamDelivery(res, options.isClosing);
	}

	#lastId: number | undefined;
	#hasHead = false;
	#events = 0;
	#pauser: Pick<Exchange, 'pause' | 'resume'> | undefined;

	private constructor(private readonly res: ServerResponse, private readonly isClosing: () => boolean) {}

	/** True once the caller has the head. */
	get hasHead(): boolean {
		return this.#hasHead;
	}

	/** Number of the last event that the caller has; `undefined` before the first. */
	get lastId(): number | undefined {
		return this.#lastId;
	}

	/** Events delivered. */
	get count(): number {
		return this.#events;
	}

	head(answer: Pick<WholeAnswer, 'status' | 'head' | 'isFramed'>, pauser: Pick<Exchange, 'pause' | 'resume'>): void {
		this.res.removeAllListeners('drain');
		this.res.on('drain', () => {
			pauser.resume();
		});
		this.#pauser = pauser;
		if (this.#hasHead) {
			return;
		}

		this.#hasHead = true;
		writeAnswerHead(this.res, answer, {isClosing: this.isClosing()});
		this.res.flushHeaders();
	}

	events(events: readonly WholeEvent[]): void {
		for (const {id, bytes} of events) {
			if (id !== undefined && this.#lastId !== undefined && id <= this.#lastId) {
				continue;
			}

			this.#lastId = id ?? this.#lastId;
			this.#events++;
			this.res.write(bytes);
		}

		if (this.res.writableLength > highWaterBytes) {
			this.#pauser?.pause();
		}
	}

	end(rest: Buffer): void {
		if (rest.length > 0) {
			this.res.write(rest);
		}

		this.res.end();
	}

	/** Ends the stream so that the caller sees that it is not complete, whatever its framing. */
	breakOff(): void {
		if (this.res.socket) {
			this.res.socket.resetAndDestroy();
		} else {
			this.res.destroy();
		}
	}
}
